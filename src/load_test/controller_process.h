// One controller of a run: the deployed program with its own settings file.
#pragma once

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "load_test/scenario.h"

namespace magpie::load_test {

// Processor time and memory of a process, from /proc.
struct ProcessUsage {
  double cpu_s = 0;
  double resident_mb = 0;
  double peak_mb = 0;  // peak of the resident memory
};
// Returns nothing if there is no such process.
std::optional<ProcessUsage> UsageOf(pid_t pid);

// Reserves a loopback port for a server process by binding a socket that does not listen. Sockets
// that request any free port get another one. A server that sets SO_REUSEADDR, as controllers do,
// can listen on the reserved port, also when it is restarted after a kill.
class ReservedPort {
 public:
  ReservedPort();
  ~ReservedPort();
  ReservedPort(const ReservedPort&) = delete;
  ReservedPort& operator=(const ReservedPort&) = delete;
  Address address() const { return {"127.0.0.1", port_}; }

 private:
  int socket_ = -1;
  int port_ = 0;
};

// The label, zone and addresses of one controller, from which its settings file is generated. It
// listens on `api` for workers and users and on `peer_address` for other controllers; `state` and
// `cloud` are the addresses of the services that it uses.
struct ControllerPlan {
  std::string label;
  std::string zone;
  Address api;
  Address peer_address;
  Address state;
  Address cloud;
};

// The settings file of the controller `all[which]`, in the format of DEPLOY.
std::string SettingsText(const Scenario& scenario, const std::vector<ControllerPlan>& all,
                         std::size_t which);

// A child process whose standard error goes to a file. The destructor kills a running process.
class ControllerProcess {
 public:
  ControllerProcess(std::vector<std::string> command, std::string log);
  ~ControllerProcess();
  ControllerProcess(const ControllerProcess&) = delete;
  ControllerProcess& operator=(const ControllerProcess&) = delete;

  // Returns false if the process could not be started.
  bool Start();
  void Kill();
  // Whether the process is running. Reaps it if it has exited.
  bool running();
  pid_t pid() const { return pid_; }
  // Processor time of the current process and of those that were started earlier.
  double cpu_s() const;
  // The last line of the log that is not empty, preceded by ": "; empty if there is none.
  std::string last_log_line() const;

 private:
  std::vector<std::string> command_;
  std::string log_;
  pid_t pid_ = 0;
  double earlier_cpu_s_ = 0;
  double last_cpu_s_ = 0;
};

}  // namespace magpie::load_test
