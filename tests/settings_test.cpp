#include "guavasail/settings.h"

#include <gtest/gtest.h>

namespace guavasail {

namespace {

constexpr std::string_view MinimalDaemon = "[daemon]\nzone = \"z\"\n";

struct SettingsCase {
  std::string_view Name;
  std::string_view Text;
  SettingsFault Fault;
  uint32_t Line;
  std::string_view Key;
};

const SettingsCase Cases[] = {
    {"Syntax", "x = = 1\n", SettingsFault::SyntaxInvalid, 3, ""},
    {"UnknownSection", "[demon]\n", SettingsFault::KeyUnknown, 3, "demon"},
    {"UnknownKey", "[limits]\nrequest = 1\n", SettingsFault::KeyUnknown, 4,
     "limits.request"},
    {"WrongType", "[limits]\nrequests = \"many\"\n", SettingsFault::TypeWrong,
     4, "limits.requests"},
    {"DecimalCount", "[limits]\nrequests = 1e3\n", SettingsFault::TypeWrong, 4,
     "limits.requests"},
    {"NegativeTime", "[limits]\ndrain_grace_ms = -1e3\n",
     SettingsFault::ValueOutOfRange, 4, "limits.drain_grace_ms"},
    {"OutOfRange", "[limits]\nlanes_per_instance = 65\n",
     SettingsFault::ValueOutOfRange, 4, "limits.lanes_per_instance"},
    {"LogLevel", "log_level = \"loud\"\n", SettingsFault::ValueOutOfRange, 3,
     "daemon.log_level"},
    {"LogFormat", "log_format = \"xml\"\n", SettingsFault::ValueOutOfRange, 3,
     "daemon.log_format"},
    {"Placement", "[fleet]\nplacement = \"random\"\n",
     SettingsFault::ValueOutOfRange, 4, "fleet.placement"},
    {"AddressIsHostName", "listen_address = \"localhost\"\n",
     SettingsFault::ValueOutOfRange, 3, "daemon.listen_address"},
    {"CertificateWithoutKey", "tls_certificate = \"c.pem\"\n",
     SettingsFault::KeyMissing, 0, "daemon.tls_key"},
    {"KeyWithoutCertificate", "tls_key = \"k.pem\"\n",
     SettingsFault::KeyMissing, 0, "daemon.tls_certificate"},
    {"InstanceAddressIsHostName",
     "[[service]]\nname = \"a\"\n[[service.instance]]\nname = \"i\"\n"
     "address = \"i.example\"\nport = 1\nzone = \"z\"\n",
     SettingsFault::ValueOutOfRange, 7, "service.instance.address"},
    {"OvershootIsNumber", "[fleet]\nwarmup_overshoot = 1.5\n",
     SettingsFault::TypeWrong, 4, "fleet.warmup_overshoot"},
    {"OvershootIsZero", "[fleet]\nwarmup_overshoot = \"0.0\"\n",
     SettingsFault::ValueOutOfRange, 4, "fleet.warmup_overshoot"},
    {"OvershootIsText", "[fleet]\nwarmup_overshoot = \"1.5x\"\n",
     SettingsFault::ValueOutOfRange, 4, "fleet.warmup_overshoot"},
    {"SlackIsNegative", "[fleet]\nwarmup_slack = -1\n",
     SettingsFault::ValueOutOfRange, 4, "fleet.warmup_slack"},
    {"Negative", "[limits]\nattempts = -1\n", SettingsFault::ValueOutOfRange, 4,
     "limits.attempts"},
    {"MissingName", "[[service]]\n", SettingsFault::KeyMissing, 3,
     "service.name"},
    {"RepeatedName", "[[service]]\nname = \"a\"\n[[service]]\nname = \"a\"\n",
     SettingsFault::NameRepeated, 5, "service.name"},
    {"RepeatedVm",
     "[[vm]]\nname = \"a\"\naddress = \"::1\"\npeer_port = 1\nzone = \"z\"\n"
     "[[vm]]\nname = \"a\"\naddress = \"::1\"\npeer_port = 2\nzone = \"z\"\n",
     SettingsFault::NameRepeated, 8, "vm.name"},
    {"PeerPort",
     "[[vm]]\nname = \"a\"\naddress = \"::1\"\npeer_port = 0\nzone = \"z\"\n",
     SettingsFault::ValueOutOfRange, 6, "vm.peer_port"},
    {"UnknownService",
     "[[route]]\nname = \"r\"\nprefix = \"/r\"\nservice = \"none\"\n",
     SettingsFault::ReferenceUnknown, 3, "route.service"},
    {"BadDigest",
     "[[workspace]]\nname = \"w\"\n[[workspace.key]]\nid = \"k\"\n"
     "digest = \"zz\"\n",
     SettingsFault::TypeWrong, 7, "workspace.key.digest"},
};

std::ostream &operator<<(std::ostream &out, const SettingsCase &row) {
  return out << row.Name;
}

class InvalidSettings : public testing::TestWithParam<SettingsCase> {};

TEST_P(InvalidSettings, ReportsFaultLineAndKey) {
  const SettingsCase &row = GetParam();
  auto result = parseSettings(
      std::string(MinimalDaemon) + std::string(row.Text), "f.toml");
  ASSERT_FALSE(result);
  const SettingsFailure &failure = result.error().Items.front();
  EXPECT_EQ(failure.Fault, row.Fault) << describe(failure);
  EXPECT_EQ(failure.File, "f.toml");
  EXPECT_EQ(failure.Line, row.Line) << describe(failure);
  EXPECT_EQ(failure.Key, row.Key);
  EXPECT_FALSE(failure.Expected.empty());
}

INSTANTIATE_TEST_SUITE_P(Table, InvalidSettings, testing::ValuesIn(Cases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

TEST(Settings, EnvironmentOverridesFile) {
  ASSERT_EQ(setenv("GUAVASAIL_TLS_KEY", "/run/key.pem", 1), 0);
  auto result = parseSettings(
      "[daemon]\nzone = \"z\"\ntls_certificate = \"c.pem\"\n", "f");
  unsetenv("GUAVASAIL_TLS_KEY");
  ASSERT_TRUE(result);
  EXPECT_EQ(result.value().Daemon.TlsKey, "/run/key.pem");
}

TEST(Settings, ExampleIsValid) {
  auto result = readSettings(std::string(DOCS_DIR) + "/settings.example.toml");
  ASSERT_TRUE(result) << describe(result.error().Items.front());
  EXPECT_FALSE(result.value().Catalog.Routes.empty());
}

TEST(Settings, ListsEveryFault) {
  auto result = parseSettings("[daemon]\nname = 1\nlisten_port = 0\n", "f");
  ASSERT_FALSE(result);
  EXPECT_EQ(result.error().Items.size(), 3u);
}

} // namespace

} // namespace guavasail
