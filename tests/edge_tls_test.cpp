#include "edge_harness.h"

#include <array>
#include <fstream>
#include <gtest/gtest.h>
#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sstream>

namespace guavasail {

namespace {

constexpr std::string_view Answer =
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabcde";
constexpr long ValidSeconds = 3600;

template <typename T, void (*Free)(T *)> struct Freed {
  void operator()(T *item) const { Free(item); }
};
using KeyPair = std::unique_ptr<EVP_PKEY, Freed<EVP_PKEY, &EVP_PKEY_free>>;
using Certificate = std::unique_ptr<X509, Freed<X509, &X509_free>>;

/// A certificate that signs itself, made for one run.
struct CertificateFiles {
  std::string Certificate;
  std::string Key;
};

CertificateFiles makeCertificate() {
  static const CertificateFiles Files = [] {
    std::string folder = testing::TempDir() + "guavasail-tls-XXXXXX";
    folder = ::mkdtemp(folder.data());
    KeyPair key(EVP_EC_gen("P-256"));
    Certificate certificate(X509_new());
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), ValidSeconds);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME *name = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(
        name, "CN", MBSTRING_ASC,
        reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), name);
    X509_sign(certificate.get(), key.get(), EVP_sha256());
    CertificateFiles files{folder + "/certificate.pem", folder + "/key.pem"};
    FILE *file = std::fopen(files.Certificate.c_str(), "w");
    PEM_write_X509(file, certificate.get());
    std::fclose(file);
    file = std::fopen(files.Key.c_str(), "w");
    PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr,
                         nullptr);
    std::fclose(file);
    return files;
  }();
  return Files;
}

EdgeOptions secureOptions() {
  CertificateFiles files = makeCertificate();
  return {.Daemon = "tls_certificate = \"" + files.Certificate +
                    "\"\ntls_key = \"" + files.Key + "\""};
}

/// Calls over TLS, with the program that callers' tests use.
struct SecureCase {
  std::string_view Name;
  std::string_view Protocol;
  std::string_view Method;
  /// Whether the instance gets the request.
  bool Forwarded = true;
};

const SecureCase SecureCases[] = {
    {"Http1Get", "http/1.1", "GET"},
    {"Http1Post", "http/1.1", "POST"},
    {"Http2Get", "h2", "GET"},
    {"Http2Post", "h2", "POST", false},
};

std::ostream &operator<<(std::ostream &out, const SecureCase &row) {
  return out << row.Name;
}

/// A caller that sends one request over TLS and expects five bytes.
class SecureCaller {
public:
  SecureCaller(const EdgeDaemon &daemon, std::string_view protocol,
               std::string_view method)
      : Figures(daemon.file("caller")), Program({LOAD_CALLER_BINARY,
                                                 "--tls",
                                                 "--port",
                                                 std::to_string(daemon.port()),
                                                 "--alpn",
                                                 std::string(protocol),
                                                 "--method",
                                                 std::string(method),
                                                 "--key",
                                                 std::string(EdgeKey),
                                                 "--path",
                                                 "/r/x",
                                                 "--requests",
                                                 "1",
                                                 "--concurrency",
                                                 "1",
                                                 "--expect_bytes",
                                                 "5",
                                                 "--max_seconds",
                                                 "10",
                                                 "--idempotency_key",
                                                 "i7"},
                                                Figures) {}

  /// Waits for its end.
  /// \returns the exit status.
  int wait() { return Program.wait(); }

  /// \returns what it counted.
  [[nodiscard]] std::string figures() const {
    std::ostringstream text;
    text << std::ifstream(Figures + ".out").rdbuf();
    return text.str();
  }

private:
  std::string Figures;
  Child Program;
};

class EdgeSecure : public testing::TestWithParam<SecureCase> {};

TEST_P(EdgeSecure, IsAnswered) {
  const SecureCase &row = GetParam();
  EdgeDaemon daemon(secureOptions());
  SecureCaller caller(daemon, row.Protocol, row.Method);
  if (row.Forwarded) {
    Wire backend = daemon.Backend.accept();
    while (!wholeRequest(backend.Received) && backend.receive()) {
    }
    EXPECT_TRUE(backend.Received.starts_with(std::string(row.Method) + " /r/x"))
        << backend.Received;
    EXPECT_EQ(backend.Received.find(EdgeKey), std::string::npos);
    backend.send(Answer);
  }
  EXPECT_EQ(caller.wait(), 0);
  std::string_view want = row.Forwarded ? "load.whole 1 " : "load.refused 1 ";
  EXPECT_NE(caller.figures().find(want), std::string::npos) << caller.figures();
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeSecure, testing::ValuesIn(SecureCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// A status that no response has.
struct BadStatusCase {
  std::string_view Name;
  std::string_view Status;
};

const BadStatusCase BadStatuses[] = {
    {"Zero", "000"}, {"Below", "099"}, {"Above", "600"}, {"Long", "2000"}};

std::ostream &operator<<(std::ostream &out, const BadStatusCase &row) {
  return out << row.Name;
}

class EdgeSecureStatus : public testing::TestWithParam<BadStatusCase> {};

/// Guards against a response of an instance in trouble that reaches a caller
/// with its status, on the edge of the HTTP library.
TEST_P(EdgeSecureStatus, OutsideTheRangeIsNotPassedOn) {
  EdgeDaemon daemon(secureOptions());
  SecureCaller caller(daemon, "http/1.1", "POST");
  Wire backend = daemon.Backend.accept();
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  backend.send("HTTP/1.1 " + std::string(GetParam().Status) +
               " Odd\r\ncontent-length: 5\r\n\r\nabcde");
  caller.wait();
  EXPECT_NE(caller.figures().find("load.whole 0 "), std::string::npos)
      << caller.figures();
  EXPECT_TRUE(daemon.Process->running());
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeSecureStatus,
                         testing::ValuesIn(BadStatuses), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// How the instance ends an answer without a length.
struct UnframedCase {
  std::string_view Name;
  bool Reset;
};

const UnframedCase UnframedCases[] = {{"Closed", false}, {"Reset", true}};

std::ostream &operator<<(std::ostream &out, const UnframedCase &row) {
  return out << row.Name;
}

class EdgeSecureUnframed : public testing::TestWithParam<UnframedCase> {};

/// A broken answer without a length must not end in order: TLS would vouch for
/// the end of a part.
TEST_P(EdgeSecureUnframed, EndsAsTheInstanceEndedIt) {
  EdgeDaemon daemon(secureOptions());
  Wire wire = daemon.dial();
  std::unique_ptr<SSL_CTX, Freed<SSL_CTX, &SSL_CTX_free>> context(
      SSL_CTX_new(TLS_client_method()));
  std::unique_ptr<SSL, Freed<SSL, &SSL_free>> tls(SSL_new(context.get()));
  SSL_set_fd(tls.get(), wire.fd());
  ASSERT_EQ(SSL_connect(tls.get()), 1);
  std::string request =
      "GET /r/x HTTP/1.1\r\nhost: h\r\nx-api-key: " + std::string(EdgeKey) +
      "\r\n\r\n";
  ASSERT_GT(
      SSL_write(tls.get(), request.data(), static_cast<int>(request.size())),
      0);
  Wire backend = daemon.Backend.accept();
  while (!wholeRequest(backend.Received) && backend.receive()) {
  }
  backend.send("HTTP/1.1 200 OK\r\n\r\nhalf");
  std::string received;
  std::array<char, 4096> buf{};
  int n = 0;
  while (received.find("half") == std::string::npos &&
         (n = SSL_read(tls.get(), buf.data(), buf.size())) > 0)
    received.append(buf.data(), static_cast<size_t>(n));
  EXPECT_NE(received.find("half"), std::string::npos) << received;
  if (GetParam().Reset)
    backend.reset();
  else
    backend.close();
  n = SSL_read(tls.get(), buf.data(), buf.size());
  EXPECT_LE(n, 0);
  bool inOrder = SSL_get_error(tls.get(), n) == SSL_ERROR_ZERO_RETURN;
  EXPECT_EQ(inOrder, !GetParam().Reset);
}

INSTANTIATE_TEST_SUITE_P(Table, EdgeSecureUnframed,
                         testing::ValuesIn(UnframedCases), [](const auto &it) {
                           return std::string(it.param.Name);
                         });

} // namespace

} // namespace guavasail
