/// \file
/// Configurations as the operator writes them.
#ifndef GUAVASAIL_REVIEW_STANDINS_3_CONFIG_H
#define GUAVASAIL_REVIEW_STANDINS_3_CONFIG_H

#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace review {

/// \returns a rule that sends a prefix to a service.
inline nlohmann::json rule(const std::string &name, const std::string &prefix,
                           const std::string &kind,
                           const std::string &service) {
  return {{"name", name},
          {"kind", kind},
          {"target_latency_ms", 2000},
          {"priority", 2},
          {"allow_anonymous", false},
          {"match", {{"prefix", prefix}}},
          {"action",
           {{"service", service}, {"timeout_ms", 4000}, {"attempts", 2}}}};
}

inline nlohmann::json listener(const std::string &host, nlohmann::json rules) {
  return {{"host", host}, {"rules", std::move(rules)}};
}

inline nlohmann::json tenant(const std::string &name,
                             const std::vector<std::string> &keys,
                             int perSecond, int burst) {
  return {{"name", name},
          {"api_keys", keys},
          {"priority", 0},
          {"rate_per_s", perSecond},
          {"burst", burst}};
}

/// \returns a whole configuration.
inline nlohmann::json config(int version, nlohmann::json tenants,
                             nlohmann::json listeners,
                             std::initializer_list<const char *> services) {
  nlohmann::json clusters = nlohmann::json::array();
  for (const char *it : services)
    clusters.push_back({{"name", it},
                        {"health_check_path", "/health"},
                        {"max_connections", 5400},
                        {"protocol", "h1"},
                        {"tls", false}});
  return {{"version", version},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 67108864},
            {"header_timeout_ms", 3000},
            {"idle_timeout_ms", 15000}}},
          {"tenants", std::move(tenants)},
          {"listeners", std::move(listeners)},
          {"clusters", std::move(clusters)}};
}

} // namespace review

#endif
