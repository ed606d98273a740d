/// \file
/// Stand-in for the platform's metadata store: items, leases, conditional
/// changes. Items given on the command line are the operator's. SIGUSR1 keeps a
/// copy of everything, SIGUSR2 restores it.
#include "http_reader.h"
#include "http_text.h"
#include "tcp_stream.h"

#include <array>
#include <csignal>
#include <cstdint>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <sodium.h>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

DEFINE_uint32(port, 9100, "TCP port on 127.0.0.1");
DEFINE_string(items, "", "file of lines KEY<tab>VALUE, read anew on SIGHUP");
DEFINE_uint32(page, 50, "items of a page");

namespace {

using guavasail::HttpReader;
using guavasail::MessageKind;
using guavasail::TcpStream;
using Json = nlohmann::json;

constexpr int Backlog = 128;
constexpr std::string_view ApiPrefix = "/api/kv-";

struct Item {
  std::string Value;
  uint64_t Revision = 0;
  uint64_t Created = 0;
  uint64_t Lease = 0;
};

struct Answer {
  uint32_t Status = 200;
  Json Body = Json::object();
};

std::string base64(std::string_view bytes) {
  std::string out(
      sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL),
      '\0');
  sodium_bin2base64(out.data(), out.size(),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  out.pop_back();
  return out;
}

std::string fromBase64(const std::string &text) {
  std::string out(text.size(), '\0');
  size_t n = 0;
  sodium_base642bin(reinterpret_cast<unsigned char *>(out.data()), out.size(),
                    text.data(), text.size(), nullptr, &n, nullptr,
                    sodium_base64_VARIANT_ORIGINAL);
  out.resize(n);
  return out;
}

/// The store's state and calls.
class Items {
public:
  void put(const std::string &key, std::string value, uint64_t lease) {
    Item &item = ByKey[key];
    bool fresh = item.Revision == 0;
    item.Revision = ++Revision;
    item.Created = fresh ? Revision : item.Created;
    item.Value = std::move(value);
    item.Lease = lease;
  }

  void drop(const std::string &key) {
    if (ByKey.erase(key) > 0)
      ++Revision;
  }

  Answer range(const std::string &prefix, const std::string &after) const {
    Answer answer;
    Json list = Json::array();
    bool more = false;
    for (const auto &[key, item] : ByKey) {
      if (!key.starts_with(prefix) || key <= after)
        continue;
      if (list.size() == FLAGS_page) {
        more = true;
        break;
      }
      list.push_back(asJson(key, item));
    }
    answer.Body = {{"items", std::move(list)},
                   {"has_more", more},
                   {"store_revision", Revision}};
    return answer;
  }

  Answer change(const Json &body) {
    for (const Json &it : body.value("expected_revision", Json::array())) {
      auto found = ByKey.find(it.at("key").get<std::string>());
      uint64_t have = found == ByKey.end() ? 0 : found->second.Revision;
      if (have != it.at("revision").get<uint64_t>())
        return {412, {{"items", Json::array()}}};
    }
    for (const Json &it : body.value("writes", Json::array())) {
      std::string key = it.at("key").get<std::string>();
      if (key.starts_with("op/") || key.starts_with("servers/"))
        return {403, Json::object()};
      put(key, fromBase64(it.at("value").get<std::string>()),
          it.value("lease", uint64_t{0}));
    }
    for (const Json &it : body.value("deletes", Json::array()))
      drop(it.get<std::string>());
    return {200, {{"revision", Revision}}};
  }

  Answer lease(const Json &body) {
    Leases[++LastLease] = body.at("ttl_ms").get<uint64_t>();
    return {200, {{"lease", LastLease}, {"ttl_ms", Leases[LastLease]}}};
  }

  Answer keep(uint64_t lease) const {
    auto it = Leases.find(lease);
    if (it == Leases.end())
      return {404, Json::object()};
    return {200, {{"ttl_ms", it->second}}};
  }

  Answer endLease(uint64_t lease) {
    if (Leases.erase(lease) == 0)
      return {404, Json::object()};
    std::vector<std::string> keys;
    for (const auto &[key, item] : ByKey)
      if (item.Lease == lease)
        keys.push_back(key);
    for (const std::string &it : keys)
      drop(it);
    return {};
  }

  /// Goes back to an older copy, with its revisions and leases.
  void restore(const Items &copy) {
    uint64_t next = Era + 1;
    *this = copy;
    Era = next;
  }

  [[nodiscard]] uint64_t era() const { return Era; }

  /// Replaces the operator's items by those of the file.
  void load(const std::string &path) {
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
      size_t tab = line.find('\t');
      if (tab == std::string::npos)
        continue;
      std::string key = line.substr(0, tab);
      std::string value = line.substr(tab + 1);
      if (value.empty())
        drop(key);
      else if (ByKey[key].Value != value)
        put(key, value, 0);
    }
  }

private:
  static Json asJson(const std::string &key, const Item &item) {
    return {{"key", key},
            {"value", base64(item.Value)},
            {"revision", item.Revision},
            {"created", item.Created},
            {"lease", item.Lease}};
  }

  std::map<std::string, Item> ByKey;
  std::map<uint64_t, uint64_t> Leases;
  uint64_t Revision = 1;
  uint64_t LastLease = 0;
  uint64_t Era = 0;
};

/// The store and its copy.
struct Backup {
  Items Current;
  Items Copy;
};

/// Acts on a signal.
struct SignalRow {
  int Signal;
  void (*Act)(Backup &backup);
};

const SignalRow SignalRows[] = {
    {SIGHUP, [](Backup &it) { it.Current.load(FLAGS_items); }},
    {SIGUSR1, [](Backup &it) { it.Copy = it.Current; }},
    {SIGUSR2, [](Backup &it) { it.Current.restore(it.Copy); }},
};

/// Restores bytes that are not UTF-8, for which JSON texts have a replacement
/// character, to a byte that is not UTF-8 either.
std::string rawKeys(std::string text) {
  constexpr std::string_view Replacement = "\xef\xbf\xbd";
  for (size_t at = text.find(Replacement); at != std::string::npos;
       at = text.find(Replacement, at))
    text.replace(at, Replacement.size(), "\xff");
  return text;
}

/// One value of a query.
std::string queryValue(std::string_view target, std::string_view name) {
  size_t mark = target.find('?');
  std::string_view rest =
      mark == std::string_view::npos ? "" : target.substr(mark + 1);
  while (!rest.empty()) {
    size_t end = std::min(rest.find('&'), rest.size());
    std::string_view part = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (part.starts_with(name) && part.substr(name.size()).starts_with('='))
      return std::string(part.substr(name.size() + 1));
  }
  return {};
}

uint64_t lastNumber(std::string_view path) {
  std::string_view text = path.substr(path.rfind('/') + 1);
  return guavasail::parseNumber<uint64_t>(text).value_or(0);
}

/// Serves the store over HTTP.
class Server : private guavasail::StreamOwner {
public:
  explicit Server(Items &items) : State(items) {}

  bool listen(uv_loop_t &loop) {
    sockaddr_in place{};
    uv_ip4_addr("127.0.0.1", static_cast<int>(FLAGS_port), &place);
    uv_tcp_init(&loop, &Listener);
    Listener.data = this;
    return uv_tcp_bind(&Listener, reinterpret_cast<sockaddr *>(&place), 0) ==
               0 &&
           uv_listen(reinterpret_cast<uv_stream_t *>(&Listener), Backlog,
                     &Server::onConnection) == 0;
  }

private:
  struct Client {
    std::string In;
    std::string Body;
    std::unique_ptr<HttpReader> Reader;
  };

  static void onConnection(uv_stream_t *server, int status) {
    auto *self = static_cast<Server *>(server->data);
    if (status != 0)
      return;
    TcpStream *stream = TcpStream::accept(
        *server, static_cast<guavasail::StreamOwner &>(*self));
    if (stream)
      stream->Context = new Client;
  }

  void onOpen(TcpStream &) override {}
  void onDrained(TcpStream &) override {}
  void onEnd(TcpStream &stream, guavasail::StreamEnd) override {
    delete static_cast<Client *>(stream.Context);
  }

  void onBytes(TcpStream &stream, std::string_view bytes) override {
    auto &client = *static_cast<Client *>(stream.Context);
    client.In.append(bytes);
    while (!client.In.empty()) {
      if (!client.Reader)
        client.Reader = std::make_unique<HttpReader>(
            MessageKind::Request, guavasail::ReadLimits{}, client.Body);
      client.In.erase(0, client.Reader->feed(client.In));
      if (!client.Reader->whole())
        return;
      Answer answer = handle(client.Reader->head(), client.Body);
      client.Reader.reset();
      client.Body.clear();
      // Keys that are not UTF-8 go out as they are.
      std::string text = rawKeys(
          answer.Body.dump(-1, ' ', false, Json::error_handler_t::replace));
      stream.write("HTTP/1.1 " + std::to_string(answer.Status) +
                   " Answer\r\ncontent-type: application/json\r\n"
                   "store-era: " +
                   std::to_string(State.era()) +
                   "\r\n"
                   "content-length: " +
                   std::to_string(text.size()) + "\r\n\r\n" + text);
    }
  }

  Answer handle(const guavasail::MessageHead &head, const std::string &body) {
    std::string_view path = head.Target;
    if (!path.starts_with(ApiPrefix))
      return {404, Json::object()};
    path.remove_prefix(ApiPrefix.size());
    Json value = Json::parse(body, nullptr, false);
    if (path.starts_with("range"))
      return State.range(queryValue(head.Target, "prefix"),
                         queryValue(head.Target, "after"));
    if (path.starts_with("keep/"))
      return State.keep(lastNumber(path));
    if (path.starts_with("lease-end/"))
      return State.endLease(lastNumber(path));
    if (value.is_discarded())
      return {400, Json::object()};
    if (path.starts_with("lease"))
      return State.lease(value);
    if (path.starts_with("txn"))
      return State.change(value);
    return {404, Json::object()};
  }

  Items &State;
  uv_tcp_t Listener{};
};

} // namespace

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  signal(SIGPIPE, SIG_IGN);
  uv_loop_t loop;
  uv_loop_init(&loop);
  Backup backup;
  backup.Current.load(FLAGS_items);
  Server server(backup.Current);
  if (!server.listen(loop)) {
    std::cerr << "standin_store: cannot listen on port " << FLAGS_port << "\n";
    return 1;
  }
  std::array<uv_signal_t, std::size(SignalRows)> signals{};
  for (size_t n = 0; n < signals.size(); ++n) {
    uv_signal_init(&loop, &signals[n]);
    signals[n].data = &backup;
    uv_signal_start(
        &signals[n],
        [](uv_signal_t *signal, int number) {
          for (const SignalRow &it : SignalRows)
            if (it.Signal == number)
              it.Act(*static_cast<Backup *>(signal->data));
          std::cerr << "standin_store: signal " << number << std::endl;
        },
        SignalRows[n].Signal);
  }
  uv_run(&loop, UV_RUN_DEFAULT);
  return 0;
}
