/// \file
/// Settings of one daemon and the failures of reading them.
#ifndef GUAVASAIL_SETTINGS_H
#define GUAVASAIL_SETTINGS_H

#include "guavasail/catalog.h"
#include "guavasail/clock.h"
#include "guavasail/header_names.h"
#include "guavasail/limits.h"
#include "guavasail/member.h"

#include <boost/outcome/result.hpp>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

/// What is wrong with a settings file.
enum class SettingsFault : uint8_t {
  FileUnreadable,
  SyntaxInvalid,
  KeyUnknown,
  KeyMissing,
  TypeWrong,
  ValueOutOfRange,
  ReferenceUnknown,
  NameRepeated,
};

/// One fault of a settings file.
struct SettingsFailure {
  SettingsFault Fault = SettingsFault::FileUnreadable;
  std::string File;
  /// Line number, starting at 1; 0 if the fault has no place.
  uint32_t Line = 0;
  /// Dotted key, such as "service.instance.port".
  std::string Key;
  /// What the key accepts.
  std::string Expected;
};

/// All faults of one settings file.
struct SettingsFailures {
  std::vector<SettingsFailure> Items;
};

/// A value, or every fault that was found.
template <typename T>
using SettingsResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, SettingsFailures, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// How log lines are written.
enum class LogFormat : uint8_t { Text, Json };

/// Where the daemon listens and how it logs.
struct DaemonSettings {
  std::string Name = "guavasail";
  std::string Zone;
  /// States that no record of an earlier request can exist: the fleet starts
  /// for the first time.
  bool FirstStart = false;
  /// IP number that callers reach.
  std::string ListenAddress = "127.0.0.1";
  uint32_t ListenPort = 8080;
  /// The same as one text "IP:PORT", which goes before both.
  std::string Listen;
  /// Where the balancer asks whether the VM takes requests; without a port
  /// only the callers' address answers.
  std::string ReadyAddress;
  uint32_t ReadyPort = 0;
  std::string ReadyListen;
  std::string ReadyPath = "/-/ready";
  /// Where metrics are read as text.
  std::string MetricsAddress;
  uint32_t MetricsPort = 0;
  std::string MetricsListen;
  /// PEM files; TLS is off if they are empty.
  std::string TlsCertificate;
  std::string TlsKey;
  /// One of "debug", "info", "warning", "error".
  std::string LogLevel = "info";
  /// One of "text", "json".
  std::string LogFormatName = "text";
};

/// How this daemon speaks with the others.
struct PeerSettings {
  /// Environment variable that holds the fleet's secret.
  std::string SecretEnv = "GUAVASAIL_PEER_SECRET";
  /// One that holds a second accepted secret while it is changed.
  std::string PreviousSecretEnv;
};

/// Where the platform's key-value service is. Without it the catalog comes
/// from the settings file.
struct StoreSettings {
  /// IP number in text form.
  std::string Address = "127.0.0.1";
  /// 0 if there is no store.
  uint32_t Port = 0;
  /// The same as one text "IP:PORT", which goes before both.
  std::string Endpoint;
};

/// How the VMs work together.
struct FleetSettings {
  /// "alone" or "owners", see `FleetKind`.
  std::string Mode = "alone";
  /// Where the other VMs reach this one.
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Region;
  /// Repeats of a service's requests in a window: a share in percent and a
  /// fixed number.
  uint32_t RetryPercent = 20;
  uint32_t RetrySlack = 10;
  Duration RetryWindow = std::chrono::seconds(10);
  /// Within this time an accepted withdrawal stops a key everywhere.
  Duration Withdrawal = std::chrono::seconds(5);
  /// Requests with keys are admitted while the store is away for all.
  bool TrustOutage = true;
  /// Life of this VM's entry in the list of VMs when it is not renewed.
  Duration Lease = std::chrono::seconds(8);
};

/// Everything in a settings file.
struct Settings {
  DaemonSettings Daemon;
  StoreSettings Store;
  FleetSettings Fleet;
  HeaderNames Headers;
  Limits Bounds;
  CatalogSpec Catalog;
  PeerSettings Peers;
  /// The fleet as known at the start, this VM included.
  std::vector<VmSpec> Vms;
};

/// Reads a settings file.
/// \param path file in TOML.
/// \returns the settings, or all faults of the file.
SettingsResult<Settings> readSettings(const std::string &path);

/// Parses settings.
/// \param text TOML.
/// \param file name used in failures.
/// \returns the settings, or all faults of the text.
SettingsResult<Settings> parseSettings(std::string_view text,
                                       std::string_view file);

/// \returns the stable name of \p fault.
std::string_view settingsFaultName(SettingsFault fault);

/// \returns one line that describes \p failure to an operator.
std::string describe(const SettingsFailure &failure);

} // namespace guavasail

#endif
