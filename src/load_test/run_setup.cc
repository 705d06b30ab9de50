// Sets up a load test: services, controllers, workers and users.
#include <chrono>
#include <fstream>
#include <future>
#include <utility>

#include "load_test/call_on_loop.h"
#include "load_test/run.h"
#include "protocol/codec.h"

namespace magpie::load_test {
namespace {

constexpr Seconds kHealthCheckInterval{0.1};
constexpr Seconds kHealthTimeout{60};          // for all controllers to become healthy
constexpr Seconds kMachineIdleTimeout{86400};  // longer than a run, so no idle machine is released

}  // namespace

void Run::SetUpServices() {
  std::filesystem::create_directories(folder_);
  state_ = std::make_unique<StateServer>(services_loop_, scenario_.state,
                                         [this](const Transaction& transaction, Instant at) {
                                           leadership_.OnCommit(transaction, at);
                                         });
  Cloud::Options cloud = scenario_.cloud;
  cloud.max_machines = scenario_.workers;
  cloud_ = std::make_unique<Cloud>(
      cloud, Cloud::Hooks{[this](const CloudMachine& machine) { return workers_->Add(machine); },
                          [this](const MachineId& id) { workers_->Begin(id); },
                          [this](const MachineId& id) { workers_->Remove(id); }});
  cloud_server_ = std::make_unique<CloudServer>(services_loop_, *cloud_);
}

void Run::SetUpControllers() {
  const std::optional<Address> cloud_address = cloud_server_->Serve();
  if (!cloud_address) throw RunSetupError("127.0.0.1: cannot listen");
  std::vector<ControllerPlan> plans;
  for (std::uint32_t i = 0; i < scenario_.controllers.count; ++i) {
    plans.push_back(PlanController(i));
    plans.back().cloud = *cloud_address;
  }
  const std::string properties = PropertiesFile();
  for (std::size_t i = 0; i < plans.size(); ++i) AddController(plans, i, properties);
}

ControllerPlan Run::PlanController(std::uint32_t index) {
  ControllerPlan plan;
  plan.label = "nestbox-" + std::to_string(index);
  plan.zone = scenario_.zones[index % scenario_.zones.size()];
  for (Address* address : {&plan.api, &plan.peer_address}) {
    ports_.push_back(std::make_unique<ReservedPort>());
    *address = ports_.back()->address();
  }
  const std::optional<Address> state = state_->Serve(plan.label);
  if (!state) throw RunSetupError("127.0.0.1: cannot listen");
  plan.state = *state;
  return plan;
}

// The path of the scenario's properties file. Without one, generates a file with the properties
// that a run needs.
std::string Run::PropertiesFile() const {
  if (!scenario_.controllers.properties.empty()) return scenario_.controllers.properties;
  const std::string properties = folder_ / "controllers.properties";
  std::ofstream(properties) << "fleet.idle_s=" << kMachineIdleTimeout.value << "\n";
  return properties;
}

void Run::AddController(const std::vector<ControllerPlan>& plans, std::size_t index,
                        const std::string& properties) {
  const ControllerPlan& plan = plans[index];
  const std::string settings = folder_ / (plan.label + ".toml");
  std::ofstream(settings) << SettingsText(scenario_, plans, index);
  const std::string log = folder_ / (plan.label + ".log");
  std::filesystem::remove(log);  // left by an earlier run
  controllers_.Add(plan, std::make_unique<ControllerProcess>(
                             std::vector<std::string>{scenario_.binary, "--properties", properties,
                                                      "--config", settings},
                             log));
  worker_context_.nodes.push_back({plan.label, plan.api});
  worker_context_.heartbeats.push_back(std::make_unique<Traffic>());
  user_traffic_.push_back(std::make_unique<Traffic>());
}

void Run::SetUpWorkers() {
  worker_context_.types = scenario_.cloud.types;
  worker_context_.heartbeat_interval = scenario_.heartbeat_interval;
  worker_context_.lease = scenario_.lease;
  worker_context_.repeated_commands = scenario_.repeated_commands;
  workers_ = std::make_unique<WorkerPool>(scenario_.threads, worker_context_, jobs_, recorder_);
  faults_ = std::make_unique<FaultSchedule>(
      FaultSchedule::Targets{controllers_, leadership_, *workers_, services_loop_, *state_});
}

void Run::SetUpUsers() {
  Users::Options options;
  options.classes = scenario_.classes;
  options.starts_per_second = scenario_.starts_per_second;
  options.max_jobs = scenario_.max_jobs;
  options.poll_interval = scenario_.poll_interval;
  users_ = std::make_unique<Users>(users_loop_, options, worker_context_.nodes, jobs_, recorder_,
                                   user_traffic_);
}

// Adds the initial machines, spread evenly over the zones.
void Run::PlaceMachines() {
  const std::size_t zones = scenario_.zones.size();
  for (std::size_t i = 0; i < zones; ++i) {
    const auto share = static_cast<std::uint32_t>(scenario_.workers / zones +
                                                  (i < scenario_.workers % zones ? 1 : 0));
    cloud_->AddBooted({"", scenario_.cloud.types.front().name, scenario_.zones[i], false, share},
                      EventLoop::Now());
  }
}

void Run::StartThreads() {
  services_thread_ = std::thread([this] { services_loop_.Run(); });
  users_thread_ = std::thread([this] { users_loop_.Run(); });
}

void Run::StartControllers() {
  if (!controllers_.StartAll())
    throw RunSetupError(scenario_file_ + ": controllers.binary: " + scenario_.binary +
                        ": cannot be started");
}

void Run::AwaitHealth() {
  const Instant end = EventLoop::Now() + kHealthTimeout;
  for (std::size_t i = 0; i < controllers_.size(); ++i) {
    while (!IsHealthy(controllers_.plan(i))) {
      if (!controllers_.process(i).running())
        throw RunSetupError(scenario_file_ + ": controllers.binary: " + scenario_.binary +
                            ": exited during startup" + controllers_.process(i).last_log_line());
      if (EventLoop::Now() > end)
        throw RunSetupError(scenario_file_ + ": controllers.binary: " + scenario_.binary + ": " +
                            controllers_.plan(i).label + " did not become healthy");
      std::this_thread::sleep_for(std::chrono::duration<double>(kHealthCheckInterval.value));
    }
  }
  controllers_.BeginMeasuring(EventLoop::Now());
}

bool Run::IsHealthy(const ControllerPlan& controller) {
  auto health = std::make_shared<std::promise<bool>>();
  Traffic ignored_traffic;
  std::unique_ptr<EventLoop::ClientConnection> connection;
  CallOnLoop(users_loop_, [&] {
    connection = users_loop_.MakeClientConnection(controller.api, ignored_traffic);
    connection->Call({"GET", protocol::kHealthPath, ""}, Seconds{1},
                     [health](const HttpOutcome& outcome) {
                       health->set_value(outcome.answered && outcome.status == 200);
                     });
    return true;
  });
  const bool healthy = health->get_future().get();
  CallOnLoop(users_loop_, [&] {
    connection.reset();
    return true;
  });
  return healthy;
}

}  // namespace magpie::load_test
