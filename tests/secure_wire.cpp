#include "secure_wire.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <utility>

namespace guavasail {

namespace {

constexpr long ValidSeconds = 3600;
constexpr long WaitSeconds = 8;

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

} // namespace

EdgeOptions secureOptions(std::string limits) {
  CertificateFiles files = makeCertificate();
  return {.Daemon = "tls_certificate = \"" + files.Certificate +
                    "\"\ntls_key = \"" + files.Key + "\"",
          .Limits = std::move(limits)};
}

struct CallerWire::Session {
  std::unique_ptr<SSL_CTX, Freed<SSL_CTX, &SSL_CTX_free>> Context;
  std::unique_ptr<SSL, Freed<SSL, &SSL_free>> Connection;
};

CallerWire::CallerWire(Wire socket, bool secure) : Socket(std::move(socket)) {
  if (!secure)
    return;
  // The library writes to a connection that may be gone.
  std::signal(SIGPIPE, SIG_IGN);
  timeval bound{WaitSeconds, 0};
  setsockopt(Socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
  Tls = std::make_unique<Session>();
  Tls->Context.reset(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_options(Tls->Context.get(), SSL_OP_IGNORE_UNEXPECTED_EOF);
  Tls->Connection.reset(SSL_new(Tls->Context.get()));
  SSL_set_fd(Tls->Connection.get(), Socket.fd());
  EXPECT_EQ(SSL_connect(Tls->Connection.get()), 1);
}

CallerWire::~CallerWire() = default;

void CallerWire::send(std::string_view bytes) {
  if (Tls)
    SSL_write(Tls->Connection.get(), bytes.data(),
              static_cast<int>(bytes.size()));
  else
    Socket.send(bytes);
}

bool CallerWire::receive() {
  if (!Tls) {
    bool more = Socket.receive();
    Received.append(std::exchange(Socket.Received, {}));
    Ended = Socket.Ended;
    EndedInOrder = Socket.Ended && !Socket.EndedByReset;
    return more;
  }
  std::array<char, 16384> buf{};
  ERR_clear_error();
  int n = SSL_read(Tls->Connection.get(), buf.data(), buf.size());
  if (n > 0) {
    Received.append(buf.data(), static_cast<size_t>(n));
    return true;
  }
  int error = SSL_get_error(Tls->Connection.get(), n);
  Ended = error != SSL_ERROR_WANT_READ;
  EndedInOrder = error == SSL_ERROR_ZERO_RETURN;
  return false;
}

void CallerWire::readToEnd() {
  while (receive()) {
  }
}

} // namespace guavasail
