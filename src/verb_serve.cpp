#include "daemon.h"
#include "key_digest.h"
#include "log.h"
#include "verbs.h"

#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>

DEFINE_string(settings, "", "settings file in TOML");

namespace guavasail {

namespace {

void printFailures(const SettingsFailures &failures) {
  for (const SettingsFailure &failure : failures.Items)
    std::cerr << describe(failure) << "\n";
}

std::string_view startFaultName(StartFault fault) {
  static constexpr std::string_view Names[] = {
      "none", "loop-failed", "listen-failed", "peer-secret-missing",
      "peer-listen-failed"};
  return Names[static_cast<size_t>(fault)];
}

} // namespace

ExitCode runCheck(std::span<const std::string_view>) {
  auto settings = readSettings(FLAGS_settings);
  if (!settings) {
    printFailures(settings.error());
    return ExitCode::BadInput;
  }
  const CatalogSpec &catalog = settings.value().Catalog;
  std::cout << "valid: " << catalog.Services.size() << " services, "
            << catalog.Routes.size() << " routes, " << catalog.Workspaces.size()
            << " workspaces\n";
  return ExitCode::Success;
}

ExitCode runServe(std::span<const std::string_view>) {
  auto settings = readSettings(FLAGS_settings);
  if (!settings) {
    printFailures(settings.error());
    return ExitCode::BadInput;
  }
  DaemonSettings daemonSettings = settings.value().Daemon;
  initLog(parseLogLevel(daemonSettings.LogLevel),
          daemonSettings.LogFormatName == "json" ? LogFormat::Json
                                                 : LogFormat::Text);
  Daemon daemon(std::move(settings.value()), FLAGS_settings);
  StartFault fault = daemon.start();
  if (fault != StartFault::None) {
    logLine(LogLevel::Error, "start-failed",
            {{"fault", startFaultName(fault)},
             {"address", std::string_view(daemonSettings.ListenAddress)},
             {"port", static_cast<int64_t>(daemonSettings.ListenPort)}});
    flushLog();
    return ExitCode::Failure;
  }
  logLine(LogLevel::Info, "serving",
          {{"address", std::string_view(daemonSettings.ListenAddress)},
           {"port", static_cast<int64_t>(daemonSettings.ListenPort)},
           {"zone", std::string_view(daemonSettings.Zone)}});
  daemon.run();
  return ExitCode::Success;
}

ExitCode runDigest(std::span<const std::string_view>) {
  std::string key;
  std::getline(std::cin, key);
  if (key.empty()) {
    std::cerr << "digest: expected a key on standard input\n";
    return ExitCode::BadInput;
  }
  std::cout << formatDigest(digestOf(key)) << "\n";
  return ExitCode::Success;
}

} // namespace guavasail
