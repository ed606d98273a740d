/// \file
/// Stand-in for the platform's store: items, pages, leases and conditional
/// changes, with answers that take a settable time.
#ifndef GUAVASAIL_REVIEW_STANDINS_3_STORE_H
#define GUAVASAIL_REVIEW_STANDINS_3_STORE_H

#include "wire.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

inline std::string encodeBase64(std::string_view bytes) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t n = 0; n < bytes.size(); n += 3) {
    uint32_t group = 0;
    size_t have = std::min<size_t>(3, bytes.size() - n);
    for (size_t k = 0; k < 3; ++k)
      group = group << 8 |
              (k < have ? static_cast<unsigned char>(bytes[n + k]) : 0U);
    for (size_t k = 0; k < 4; ++k)
      out.push_back(k <= have ? Digits[group >> (18 - 6 * k) & 63] : '=');
  }
  return out;
}

inline std::string decodeBase64(std::string_view text) {
  constexpr std::string_view Digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  uint32_t group = 0;
  int bits = 0;
  for (char c : text) {
    size_t digit = Digits.find(c);
    if (digit == std::string_view::npos)
      break;
    group = group << 6 | static_cast<uint32_t>(digit);
    bits += 6;
    if (bits < 8)
      continue;
    bits -= 8;
    out.push_back(static_cast<char>(group >> bits & 255));
  }
  return out;
}

class Store {
public:
  /// Time of an answer and items of a page, as on the sheets.
  static constexpr int64_t AnswerMs = 4;
  static constexpr size_t PageItems = 50;

  bool start(const std::string &address, int port) {
    int fd = listenAt(address, port);
    if (fd < 0)
      return false;
    std::thread([this, fd] { acceptAll(fd); }).detach();
    return true;
  }

  /// Writes an item at once.
  /// \returns its revision.
  uint64_t put(const std::string &key, const std::string &value,
               uint64_t lease = 0) {
    std::lock_guard lock(Mutex);
    return putLocked(key, value, lease);
  }

  void drop(const std::string &key) {
    std::lock_guard lock(Mutex);
    Revision += Items.erase(key);
  }

  [[nodiscard]] uint64_t revision() {
    std::lock_guard lock(Mutex);
    return Revision;
  }

  /// Sets by how much answers take longer than usual.
  void setSlowness(int64_t factor) { Factor = factor; }
  [[nodiscard]] int64_t answerMs() const { return AnswerMs * Factor; }

  /// Called for each page of the catalog that has been read, with the id of
  /// the connection and the key it began after.
  std::function<void(int, const std::string &)> OnCatalogPage;

private:
  struct Item {
    std::string Value;
    uint64_t Revision = 0;
    uint64_t Created = 0;
    uint64_t Lease = 0;
  };
  struct Lease {
    int64_t TtlMs = 0;
    int64_t EndsAt = 0;
  };
  struct Reply {
    int Status = 200;
    Json Body = Json::object();
  };

  uint64_t putLocked(const std::string &key, const std::string &value,
                     uint64_t lease) {
    Item &item = Items[key];
    item.Revision = ++Revision;
    item.Created = item.Created == 0 ? Revision : item.Created;
    item.Value = value;
    item.Lease = lease;
    return Revision;
  }

  void acceptAll(int listener) {
    for (int id = 1;; ++id) {
      int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0)
        std::thread([this, fd, id] { serve(fd, id); }).detach();
    }
  }

  void serve(int fd, int id) {
    Connection link(fd);
    Message call;
    while (link.read(call, nowMs() + 60000)) {
      // What is read is the state at the call's arrival.
      Reply reply = handle(call, id);
      sleepMs(answerMs());
      std::string body = reply.Body.dump();
      if (!link.write("HTTP/1.1 " + std::to_string(reply.Status) +
                      " Answer\r\nContent-Type: application/json\r\n"
                      "Store-Era: 0\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  static std::string decodeQuery(const std::string &text) {
    std::string out;
    for (size_t n = 0; n < text.size(); ++n) {
      bool escaped = text[n] == '%' && n + 2 < text.size();
      out.push_back(escaped ? static_cast<char>(
                                  std::stoi(text.substr(n + 1, 2), nullptr, 16))
                            : text[n]);
      n += escaped ? 2 : 0;
    }
    return out;
  }

  static std::string query(const std::string &target, const std::string &name) {
    for (char mark : {'?', '&'}) {
      size_t at = target.find(mark + name + "=");
      if (at == std::string::npos)
        continue;
      size_t from = at + name.size() + 2;
      return decodeQuery(target.substr(from, target.find('&', from) - from));
    }
    return {};
  }

  void expireLeases() {
    for (auto it = Leases.begin(); it != Leases.end();) {
      if (it->second.EndsAt > nowMs()) {
        ++it;
        continue;
      }
      endLease(it->first);
      it = Leases.erase(it);
    }
  }

  void endLease(uint64_t lease) {
    Revision += std::erase_if(
        Items, [&](const auto &item) { return item.second.Lease == lease; });
  }

  Reply handle(const Message &call, int id) {
    std::string target = call.word(1);
    Json body = Json::parse(call.Body, nullptr, false);
    std::string after = query(target, "after");
    bool catalog = false;
    Reply reply;
    {
      std::lock_guard lock(Mutex);
      expireLeases();
      auto number = [&] {
        return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr,
                             10);
      };
      if (target.starts_with("/api/kv-range")) {
        reply = range(query(target, "prefix"), after);
        catalog = query(target, "prefix").empty();
      } else if (target.starts_with("/api/kv-keep/")) {
        reply = keep(number());
      } else if (target.starts_with("/api/kv-lease-end/")) {
        endLease(number());
        reply.Status = Leases.erase(number()) > 0 ? 200 : 404;
      } else if (target == "/api/kv-lease") {
        int64_t ttl = body.value("ttl_ms", int64_t{1000});
        Leases[++LastLease] = {ttl, nowMs() + ttl};
        reply.Body = {{"lease", LastLease}, {"ttl_ms", ttl}};
      } else if (target == "/api/kv-txn") {
        reply = change(body);
      } else {
        reply.Status = 404;
      }
    }
    if (catalog && OnCatalogPage)
      OnCatalogPage(id, after);
    return reply;
  }

  Reply range(const std::string &prefix, const std::string &after) const {
    Json list = Json::array();
    bool more = false;
    for (auto it = Items.upper_bound(after); it != Items.end(); ++it) {
      if (!it->first.starts_with(prefix))
        continue;
      if (list.size() == PageItems) {
        more = true;
        break;
      }
      list.push_back({{"key", it->first},
                      {"value", encodeBase64(it->second.Value)},
                      {"revision", it->second.Revision},
                      {"created", it->second.Created},
                      {"lease", it->second.Lease}});
    }
    return {200,
            {{"items", std::move(list)},
             {"has_more", more},
             {"store_revision", Revision}}};
  }

  Reply keep(uint64_t id) {
    auto it = Leases.find(id);
    if (it == Leases.end())
      return {404, Json::object()};
    it->second.EndsAt = nowMs() + it->second.TtlMs;
    return {200, {{"ttl_ms", it->second.TtlMs}}};
  }

  Reply change(const Json &body) {
    for (const Json &it : body.value("expected_revision", Json::array())) {
      auto found = Items.find(it.at("key").get<std::string>());
      uint64_t have = found == Items.end() ? 0 : found->second.Revision;
      if (have != it.at("revision").get<uint64_t>())
        return {412, {{"items", Json::array()}}};
    }
    for (const Json &it : body.value("writes", Json::array()))
      putLocked(it.at("key").get<std::string>(),
                decodeBase64(it.at("value").get<std::string>()),
                it.value("lease", uint64_t{0}));
    for (const Json &it : body.value("deletes", Json::array()))
      Revision += Items.erase(it.get<std::string>());
    return {200, {{"revision", Revision}}};
  }

  std::mutex Mutex;
  std::map<std::string, Item> Items;
  std::map<uint64_t, Lease> Leases;
  uint64_t Revision = 1;
  uint64_t LastLease = 0;
  std::atomic<int64_t> Factor = 1;
};

} // namespace review

#endif
