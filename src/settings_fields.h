/// \file
/// Keys of the settings file: one array of fields for each TOML table.
#ifndef GUAVASAIL_SRC_SETTINGS_FIELDS_H
#define GUAVASAIL_SRC_SETTINGS_FIELDS_H

#include "guavasail/limits.h"
#include "guavasail/settings.h"

#include <arpa/inet.h>
#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace guavasail::fields {

inline constexpr uint32_t MaxPort = 65535;
/// Upper bound of numbers whose field gives none.
inline constexpr uint32_t DefaultMaxValue = 1u << 30;

/// Pointer to the member that receives the value of a key.
template <typename Spec>
using MemberPointer =
    std::variant<bool Spec::*, std::string Spec::*, uint32_t Spec::*,
                 uint64_t Spec::*, Duration Spec::*,
                 std::vector<std::string> Spec::*, Digest Spec::*>;

/// Validation of a string value.
struct StringRule {
  bool (*IsValid)(const std::string &text);
  std::string_view Expected;
};

/// \returns true if \p text is an IPv4 or IPv6 address.
inline bool isIpAddress(const std::string &text) {
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, text.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, text.c_str(), bytes.data()) == 1;
}

/// \returns true if \p text is a log level.
inline bool isLogLevel(const std::string &text) {
  return text == "debug" || text == "info" || text == "warning" ||
         text == "error";
}

/// \returns true if \p text is a log format.
inline bool isLogFormat(const std::string &text) {
  return text == "text" || text == "json";
}

/// \returns true if \p text is "IP:PORT".
inline bool isEndpoint(const std::string &text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos || !isIpAddress(text.substr(0, colon)))
    return false;
  std::string port = text.substr(colon + 1);
  bool digits = !port.empty() && port.size() <= 5 &&
                port.find_first_not_of("0123456789") == std::string::npos;
  return digits && std::stoul(port) >= 1 && std::stoul(port) <= 65535;
}

/// \returns true if \p text is a fleet mode.
inline bool isFleetMode(const std::string &text) {
  return text == "alone" || text == "owners";
}

/// \returns true if \p text is a placement that settings may select.
inline bool isPlacement(const std::string &text) {
  return text == "spread" || text == "even";
}

/// \returns true if \p text is a positive decimal number of at most
/// \p maxCharacters, or empty.
inline bool isDecimal(const std::string &text, size_t maxCharacters) {
  bool digits = text.find_first_not_of("0123456789.") == std::string::npos;
  bool oneDot = text.find('.') == text.rfind('.');
  return text.empty() || (digits && oneDot && text.size() <= maxCharacters &&
                          text.front() != '.' && text.back() != '.');
}

/// \returns true if \p text is a number of cores, or empty.
inline bool isCpuShare(const std::string &text) {
  constexpr size_t MaxCharacters = 6;
  return isDecimal(text, MaxCharacters);
}

/// \returns true if \p text is a factor of at most 1000, or empty.
inline bool isOvershoot(const std::string &text) {
  constexpr size_t MaxCharacters = 24;
  constexpr double MaxFactor = 1000;
  if (text.empty() || !isDecimal(text, MaxCharacters))
    return text.empty();
  double factor = std::stod(text);
  return factor > 0 && factor <= MaxFactor;
}

inline constexpr StringRule OvershootRule = {&isOvershoot,
                                             "a positive factor, such as 1.5"};
inline constexpr StringRule CpuShareRule = {&isCpuShare,
                                            "a number of cores, such as 0.5"};
inline constexpr StringRule EndpointRule = {&isEndpoint, "IP:PORT"};
inline constexpr StringRule FleetModeRule = {&isFleetMode,
                                             "one of alone owners"};
inline constexpr StringRule PlacementRule = {&isPlacement,
                                             "one of spread even"};
inline constexpr StringRule AddressRule = {&isIpAddress, "an IP number"};
inline constexpr StringRule LogLevelRule = {&isLogLevel,
                                            "one of debug info warning error"};
inline constexpr StringRule LogFormatRule = {&isLogFormat, "one of text json"};

/// One key of a table: the member that it sets and the values that it accepts.
/// `MinValue` and `MaxValue` apply to integers and to durations, which are
/// given in milliseconds.
template <typename Spec> struct Field {
  std::string_view Key;
  MemberPointer<Spec> Member;
  bool Required = false;
  uint64_t MinValue = 0;
  uint64_t MaxValue = DefaultMaxValue;
  const StringRule *Rule = nullptr;
};

inline constexpr auto DaemonFields = std::to_array<Field<DaemonSettings>>({
    {"name", &DaemonSettings::Name},
    {"zone", &DaemonSettings::Zone, true},
    {"first_start", &DaemonSettings::FirstStart},
    {"listen_address", &DaemonSettings::ListenAddress, false, 0, 0,
     &AddressRule},
    {"listen_port", &DaemonSettings::ListenPort, false, 1, MaxPort},
    {"listen", &DaemonSettings::Listen, false, 0, 0, &EndpointRule},
    {"ready_listen", &DaemonSettings::ReadyListen, false, 0, 0, &EndpointRule},
    {"ready_path", &DaemonSettings::ReadyPath},
    {"metrics_listen", &DaemonSettings::MetricsListen, false, 0, 0,
     &EndpointRule},
    {"tls_certificate", &DaemonSettings::TlsCertificate},
    {"tls_key", &DaemonSettings::TlsKey},
    {"log_level", &DaemonSettings::LogLevel, false, 0, 0, &LogLevelRule},
    {"log_format", &DaemonSettings::LogFormatName, false, 0, 0, &LogFormatRule},
});

/// A member that an environment variable overrides.
struct EnvironmentOverride {
  const char *Variable;
  std::string DaemonSettings::*Member;
};

inline constexpr auto EnvironmentOverrides =
    std::to_array<EnvironmentOverride>({
        {"GUAVASAIL_TLS_CERTIFICATE", &DaemonSettings::TlsCertificate},
        {"GUAVASAIL_TLS_KEY", &DaemonSettings::TlsKey},
    });

inline constexpr auto PeerFields = std::to_array<Field<PeerSettings>>({
    {"secret_env", &PeerSettings::SecretEnv},
    {"previous_secret_env", &PeerSettings::PreviousSecretEnv},
});

inline constexpr auto VmFields = std::to_array<Field<VmSpec>>({
    {"name", &VmSpec::Name, true},
    {"address", &VmSpec::Address, true, 0, 0, &AddressRule},
    {"peer_port", &VmSpec::PeerPort, true, 1, MaxPort},
    {"zone", &VmSpec::Zone, true},
    {"region", &VmSpec::Region},
});

inline constexpr auto StoreFields = std::to_array<Field<StoreSettings>>({
    {"address", &StoreSettings::Address, false, 0, 0, &AddressRule},
    {"port", &StoreSettings::Port, false, 1, MaxPort},
    {"endpoint", &StoreSettings::Endpoint, false, 0, 0, &EndpointRule},
});

inline constexpr auto FleetFields = std::to_array<Field<FleetSettings>>({
    {"mode", &FleetSettings::Mode, false, 0, 0, &FleetModeRule},
    {"address", &FleetSettings::Address, false, 0, 0, &AddressRule},
    {"peer_port", &FleetSettings::PeerPort, false, 1, MaxPort},
    {"region", &FleetSettings::Region},
    {"cpu_share", &FleetSettings::CpuShare, false, 0, 0, &CpuShareRule},
    {"retry_percent", &FleetSettings::RetryPercent, false, 0, 100},
    {"retry_slack", &FleetSettings::RetrySlack},
    {"retry_window_ms", &FleetSettings::RetryWindow, false, 1000},
    {"warmup_overshoot", &FleetSettings::WarmupOvershoot, false, 0, 0,
     &OvershootRule},
    {"warmup_slack", &FleetSettings::WarmupSlack},
    {"withdrawal_ms", &FleetSettings::MaxWithdrawalDelay, false, 1000},
    {"trust_outage", &FleetSettings::AdmitDuringOutage},
    {"lease_ms", &FleetSettings::Lease, false, 1000, 600000},
    {"placement", &FleetSettings::Placement, false, 0, 0, &PlacementRule},
});

inline constexpr auto HeaderFields = std::to_array<Field<HeaderNames>>({
    {"timeout", &HeaderNames::Timeout},
    {"key_scheme", &HeaderNames::KeyScheme},
    {"key_header", &HeaderNames::KeyHeader},
    {"key_parameter", &HeaderNames::KeyParameter},
    {"request_id", &HeaderNames::RequestId},
    {"expected_instance", &HeaderNames::ExpectedInstance},
    {"workspace", &HeaderNames::Workspace},
    {"load", &HeaderNames::Load},
    {"leaving", &HeaderNames::Leaving},
    {"not_run", &HeaderNames::NotRun},
    {"signature", &HeaderNames::Signature},
    {"echoed_id", &HeaderNames::EchoedId},
    {"pass_host", &HeaderNames::PassHost},
    {"fractional_retry_after", &HeaderNames::FractionalRetryAfter},
});

inline constexpr auto LimitFields = std::to_array<Field<Limits>>({
    {"requests", &Limits::Requests, false, 1},
    {"caller_connections", &Limits::MaxCallerConnections, false, 1},
    {"header_bytes", &Limits::MaxHeaderBytes, false, 1024, 65535},
    {"body_bytes", &Limits::BodyBytes, false, 0, uint64_t{1} << 40},
    {"replay_bytes", &Limits::MaxReplayBytes},
    {"answer_buffer_bytes", &Limits::MaxResponseBufferBytes, false, 4096},
    {"lanes_per_instance", &Limits::MaxLanesPerInstance, false, 1, MaxLanes},
    {"memory_mb", &Limits::MemoryMegabytes, false, 32, 1 << 20},
    {"file_descriptors", &Limits::FileDescriptors, false, 256, 1 << 20},
    {"attempts", &Limits::Attempts, false, 1, 16},
    {"caller_idle_ms", &Limits::CallerIdleTimeout, false, 1},
    {"connect_ms", &Limits::ConnectTimeout, false, 1},
    {"lane_idle_ms", &Limits::LaneIdleTimeout, false, 1},
    {"hold_answers", &Limits::BufferResponses},
    {"drain_accept_ms", &Limits::DrainAcceptPeriod},
    {"start_hold_ms", &Limits::StartHold},
    {"drain_grace_ms", &Limits::DrainGracePeriod},
});

inline constexpr auto InstanceFields = std::to_array<Field<InstanceSpec>>({
    {"name", &InstanceSpec::Name, true},
    {"address", &InstanceSpec::Address, true, 0, 0, &AddressRule},
    {"port", &InstanceSpec::Port, true, 1, MaxPort},
    {"zone", &InstanceSpec::Zone, true},
    {"slots", &InstanceSpec::Slots, false, 1},
    {"connections", &InstanceSpec::Connections, false, 1},
});

inline constexpr auto ServiceFields = std::to_array<Field<ServiceSpec>>({
    {"name", &ServiceSpec::Name, true},
    {"floor_percent", &ServiceSpec::FloorPercent, false, 0, 100},
});

inline constexpr auto RouteFields = std::to_array<Field<RouteSpec>>({
    {"name", &RouteSpec::Name, true},
    {"prefix", &RouteSpec::Prefix, true},
    {"service", &RouteSpec::Service, true},
    {"timeout_ms", &RouteSpec::Timeout, false, 1},
    {"workspaces", &RouteSpec::Workspaces},
});

inline constexpr auto WorkspaceFields = std::to_array<Field<WorkspaceSpec>>({
    {"name", &WorkspaceSpec::Name, true},
    {"weight", &WorkspaceSpec::Weight, false, 1, 1000},
    {"rate", &WorkspaceSpec::RatePerSecond},
    {"burst", &WorkspaceSpec::Burst},
});

inline constexpr auto KeyFields = std::to_array<Field<KeySpec>>({
    {"id", &KeySpec::Id, true},
    {"digest", &KeySpec::Value, true},
});

} // namespace guavasail::fields

#endif
