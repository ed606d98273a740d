/// \file
/// Settings of one daemon and the errors in settings files.
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

/// Kinds of errors in a settings file.
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

/// One error in a settings file.
struct SettingsFailure {
  SettingsFault Fault = SettingsFault::FileUnreadable;
  std::string File;
  /// Line number, starting at 1; 0 if no line applies.
  uint32_t Line = 0;
  /// Dotted key, such as "service.instance.port".
  std::string Key;
  /// Values that the key accepts.
  std::string Expected;
};

/// All errors in one settings file.
struct SettingsFailures {
  std::vector<SettingsFailure> Items;
};

/// A value or all errors found.
template <typename T>
using SettingsResult = BOOST_OUTCOME_V2_NAMESPACE::basic_result<
    T, SettingsFailures, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// Encoding of log lines.
enum class LogFormat : uint8_t { Text, Json };

/// Listen addresses, TLS and logging of the daemon.
struct DaemonSettings {
  std::string Name = "guavasail";
  std::string Zone;
  /// The fleet starts for the first time, so no record of an earlier request
  /// can exist.
  bool FirstStart = false;
  /// IP address for callers.
  std::string ListenAddress = "127.0.0.1";
  uint32_t ListenPort = 8080;
  /// Address and port as "IP:PORT"; overrides both.
  std::string Listen;
  /// Address that serves readiness and health to the load balancer; nobody
  /// answers these without a port. The callers' address never does.
  std::string ReadyAddress;
  uint32_t ReadyPort = 0;
  std::string ReadyListen;
  std::string ReadyPath = "/-/ready";
  /// Address that serves metrics as text.
  std::string MetricsAddress;
  uint32_t MetricsPort = 0;
  std::string MetricsListen;
  /// PEM files; TLS is disabled if they are empty.
  std::string TlsCertificate;
  std::string TlsKey;
  /// One of "debug", "info", "warning", "error".
  std::string LogLevel = "info";
  /// One of "text", "json".
  std::string LogFormatName = "text";
};

/// Authentication between daemons.
struct PeerSettings {
  /// Environment variable that holds the fleet's secret.
  std::string SecretEnv = "GUAVASAIL_PEER_SECRET";
  /// Environment variable with a second accepted secret, used while the secret
  /// is rotated.
  std::string PreviousSecretEnv;
};

/// Address of the platform's key-value service. Without it the catalog is read
/// from the settings file.
struct StoreSettings {
  /// IP address as text.
  std::string Address = "127.0.0.1";
  /// 0 without a store.
  uint32_t Port = 0;
  /// Address and port as "IP:PORT"; overrides both.
  std::string Endpoint;
};

/// Cooperation of the VMs.
struct FleetSettings {
  /// "alone" or "owners", see `FleetKind`.
  std::string Mode = "alone";
  /// Address at which the other VMs reach this one.
  std::string Address;
  uint32_t PeerPort = 0;
  std::string Region;
  /// Processor of this VM in cores, as a decimal number; empty if unknown.
  std::string CpuShare;
  /// Retry budget of a service for each window, over all VMs: a percentage of
  /// its requests plus a fixed number.
  uint32_t RetryPercent = 20;
  uint32_t RetrySlack = 25;
  Duration RetryWindow = std::chrono::seconds(10);
  /// Requests that a cold instance may get in any second, over all VMs: its
  /// service's warm-up rate times `WarmupOvershoot`, a decimal number, plus
  /// `WarmupSlack`. No limit if `WarmupOvershoot` is empty.
  std::string WarmupOvershoot;
  uint32_t WarmupSlack = 0;
  /// Time within which the accepted withdrawal of a key takes effect on all
  /// VMs.
  Duration MaxWithdrawalDelay = std::chrono::seconds(5);
  /// Admits requests with keys while the whole fleet cannot reach the store.
  bool AdmitDuringOutage = true;
  /// Lease time of this VM's entry in the list of VMs.
  Duration Lease = std::chrono::seconds(8);
  /// "spread" or "even", see `PlacementKind`.
  std::string Placement = "spread";
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
  /// VMs of the fleet at startup, including this one.
  std::vector<VmSpec> Vms;

  /// \returns true if all VMs derive the same replicas of idempotency records
  /// from the settings. VMs that find each other in the store cannot.
  [[nodiscard]] bool assignsRecords() const {
    return !Vms.empty() || Fleet.PeerPort == 0;
  }
};

/// Reads a settings file.
/// \param path TOML file.
/// \returns the settings, or all errors in the file.
SettingsResult<Settings> readSettings(const std::string &path);

/// Parses settings.
/// \param text TOML.
/// \param file file name for error messages.
/// \returns the settings, or all errors in the text.
SettingsResult<Settings> parseSettings(std::string_view text,
                                       std::string_view file);

/// \returns the stable name of \p fault.
std::string_view settingsFaultName(SettingsFault fault);

/// \returns a one-line error message for \p failure.
std::string describe(const SettingsFailure &failure);

} // namespace guavasail

#endif
