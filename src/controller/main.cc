#include <malloc.h>
#include <pthread.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "controller/controller.h"
#include "controller/settings.h"

namespace {

constexpr std::size_t kThreadStackBytes = 192 * 1024;
constexpr int kMaxMallocArenas = 2;

bool ConfigureLogging() {
  spdlog::set_default_logger(spdlog::stderr_logger_mt("magpieswitch"));
  spdlog::set_pattern("%l %v");
  const char* level = std::getenv("LOG_LEVEL");
  const std::string name = level == nullptr ? "info" : level;
  if (name != "error" && name != "info" && name != "debug") {
    std::cerr << "LOG_LEVEL must be error, info or debug\n";
    return false;
  }
  spdlog::set_level(spdlog::level::from_str(name));
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"magpieswitch, a cluster scheduler"};
  std::string config;
  std::string properties;
  bool check_only = false;
  app.add_option("--config", config, "the platform's settings file (TOML)")->required();
  app.add_option("--properties", properties, "the operators' properties file (Java-style)");
  app.add_flag("--check-config", check_only, "check the settings files and exit");
  app.set_version_flag("--version", "magpieswitch " MAGPIE_VERSION);
  CLI11_PARSE(app, argc, argv);

  magpie::Settings settings;
  try {
    settings = magpie::LoadSettings(config);
    if (!properties.empty()) magpie::LoadProperties(properties, settings);
  } catch (const magpie::InvalidSettings& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  if (check_only) {
    std::cout << "the settings are good\n";
    return 0;
  }
  if (!ConfigureLogging()) return 2;

  // Controllers run with little memory, so the number of heaps and the stack size are limited.
  mallopt(M_ARENA_MAX, kMaxMallocArenas);
  pthread_attr_t attributes;
  pthread_attr_init(&attributes);
  pthread_attr_setstacksize(&attributes, kThreadStackBytes);
  pthread_setattr_default_np(&attributes);
  pthread_attr_destroy(&attributes);
  std::signal(SIGPIPE, SIG_IGN);

  magpie::Controller controller(settings);
  return controller.Run() ? 0 : 1;
}
