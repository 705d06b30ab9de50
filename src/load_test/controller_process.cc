#include "load_test/controller_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <sstream>

namespace magpie::load_test {
namespace {

std::string QuotedString(const std::string& text) {
  std::string quoted = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + "\"";
}

std::string AddressText(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

// The number in a field of /proc/<pid>/status, in the unit of that file; 0 without the field.
double StatusField(const std::string& status, const std::string& name) {
  const auto field_start = status.find("\n" + name + ":");
  if (field_start == std::string::npos) return 0;
  return std::strtod(status.c_str() + field_start + name.size() + 2, nullptr);
}

std::string ReadFile(const std::string& path) {
  const std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

std::optional<ProcessUsage> UsageOf(pid_t pid) {
  const std::string directory = "/proc/" + std::to_string(pid);
  const std::string stat = ReadFile(directory + "/stat");
  // The process name in parentheses can contain any character; the numbers follow it.
  const auto name_end = stat.rfind(')');
  if (name_end == std::string::npos) return std::nullopt;
  std::istringstream fields(stat.substr(name_end + 2));
  std::string skipped;
  constexpr int kFieldsBeforeCpuTimes = 11;  // from the state to the page faults of children
  for (int i = 0; i < kFieldsBeforeCpuTimes; ++i) fields >> skipped;
  double user = 0;
  double system = 0;
  if (!(fields >> user >> system)) return std::nullopt;
  const std::string status = ReadFile(directory + "/status");
  constexpr double kMegaPerKibi = 1024 / 1e6;
  return ProcessUsage{(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)),
                      StatusField(status, "VmRSS") * kMegaPerKibi,
                      StatusField(status, "VmHWM") * kMegaPerKibi};
}

ReservedPort::ReservedPort() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof address;
  const int enable = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (bind(socket_, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &length) == 0)
    port_ = ntohs(address.sin_port);
}

ReservedPort::~ReservedPort() {
  if (socket_ >= 0) close(socket_);
}

std::string SettingsText(const Scenario& scenario, const std::vector<ControllerPlan>& all,
                         std::size_t which) {
  const ControllerPlan& self = all.at(which);
  std::ostringstream out;
  out << "label = " << QuotedString(self.label) << "\nsite = " << QuotedString(self.zone)
      << "\napi_addr = " << QuotedString(AddressText(self.api))
      << "\nmesh_addr = " << QuotedString(AddressText(self.peer_address)) << "\n";
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (i == which) continue;
    out << "\n[[members]]\nlabel = " << QuotedString(all[i].label)
        << "\nsite = " << QuotedString(all[i].zone)
        << "\nendpoint = " << QuotedString(AddressText(all[i].peer_address)) << "\n";
  }
  out << "\n[endpoints]\ncloud = " << QuotedString(AddressText(self.cloud))
      << "\nstate = " << QuotedString(AddressText(self.state)) << "\n";
  out << "\n[cluster]\ncount = " << all.size() << "\nzones = [";
  for (const std::string& zone : scenario.zones) out << QuotedString(zone) << ", ";
  out << "]\nskew_ms = 10.0\n";
  for (const Team& team : scenario.teams)
    out << "\n[[cluster.teams]]\nname = " << QuotedString(team.name) << "\ncpus = " << team.cpus
        << "\ncpus_max = " << team.cpus_max << "\ngpus = " << team.gpus
        << "\ngpus_max = " << team.gpus_max << "\n";
  for (const Objective& objective : scenario.objectives)
    out << "\n[[cluster.objectives]]\nkind = " << QuotedString(objective.kind)
        << "\nclass = " << QuotedString(objective.job_class)
        << "\nwithin_s = " << objective.limit.value << "\nshare = " << objective.share
        << "\ntimes = " << objective.deadline_factor << "\n";
  out << "\n[cluster.workers]\nreport_s = " << scenario.heartbeat_interval.value
      << "\nlease_s = " << scenario.lease.value
      << "\ngang_wait_s = 40.0\ngang_peer_s = 6.0\ncancel_s = " << scenario.cancel_timeout.value
      << "\n";
  const StateService::Options& state = scenario.state.service;
  out << "\n[cluster.state]\nrps = " << state.requests_per_second
      << "\nwrite_rps = " << state.writes_per_second << "\nvalue_kb = " << state.value_kb
      << "\ntxn_ops = " << state.max_operations << "\n";
  out << "\n[cluster.cloud]\nrps = " << scenario.cloud.requests_per_second
      << "\nlist_lag_s = " << scenario.cloud.list_lag.value << "\n";
  out << "\n[cluster.resources]\ncores = 1.0\nsockets = " << scenario.controllers.sockets << "\n";
  if (scenario.controllers.memory_mb > 0)
    out << "mem_mb = " << scenario.controllers.memory_mb << "\n";
  return out.str();
}

ControllerProcess::ControllerProcess(std::vector<std::string> command, std::string log)
    : command_(std::move(command)), log_(std::move(log)) {}

ControllerProcess::~ControllerProcess() { Kill(); }

bool ControllerProcess::Start() {
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (std::string& argument : command_) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr mode_t kMode = 0644;
  posix_spawn_file_actions_addopen(&files, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, "/dev/null", O_WRONLY, 0);
  posix_spawn_file_actions_addopen(&files, STDERR_FILENO, log_.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kMode);
  const int spawn_error =
      posix_spawn(&pid_, arguments[0], &files, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (spawn_error != 0) pid_ = 0;
  return spawn_error == 0;
}

void ControllerProcess::Kill() {
  if (pid_ == 0) return;
  earlier_cpu_s_ = cpu_s();
  last_cpu_s_ = 0;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool ControllerProcess::running() {
  if (pid_ == 0) return false;
  if (const auto usage = UsageOf(pid_)) last_cpu_s_ = usage->cpu_s;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  earlier_cpu_s_ += last_cpu_s_;
  last_cpu_s_ = 0;
  pid_ = 0;
  return false;
}

double ControllerProcess::cpu_s() const {
  if (pid_ == 0) return earlier_cpu_s_;
  const auto usage = UsageOf(pid_);
  return earlier_cpu_s_ + (usage ? usage->cpu_s : last_cpu_s_);
}

std::string ControllerProcess::last_log_line() const {
  std::ifstream file(log_);
  std::string line;
  std::string last;
  while (std::getline(file, line))
    if (!line.empty()) last = line;
  return last.empty() ? last : std::string(": ").append(last);
}

}  // namespace magpie::load_test
