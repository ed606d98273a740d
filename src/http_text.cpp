#include "http_text.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <set>

namespace guavasail {

namespace {

/// Headers of one connection, and framing, which each side writes itself.
constexpr auto HopByHop = std::to_array<std::string_view>(
    {"connection:", "keep-alive:", "proxy-connection:", "proxy-authenticate:",
     "proxy-authorization:", "te:", "trailer:", "transfer-encoding:",
     "upgrade:", "content-length:"});

char lower(char c) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool isControl(char c) {
  auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && byte != '\t') || byte == 0x7f;
}

bool isHopByHop(const HeaderField &field) {
  return std::any_of(HopByHop.begin(), HopByHop.end(), [&](auto name) {
    return equalIgnoringCase(field.Name, name);
  });
}

} // namespace

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return lower(x) == lower(y); });
}

std::string lowerCase(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), &lower);
  return out;
}

std::string_view trimBlanks(std::string_view text) {
  constexpr std::string_view Blank = " \t";
  size_t from = text.find_first_not_of(Blank);
  if (from == std::string_view::npos)
    return {};
  return text.substr(from, text.find_last_not_of(Blank) - from + 1);
}

bool isCleanValue(std::string_view value) {
  return std::none_of(value.begin(), value.end(), &isControl);
}

std::string_view takeListItem(std::string_view &list) {
  size_t comma = std::min(list.find(','), list.size());
  std::string_view item = trimBlanks(list.substr(0, comma));
  list.remove_prefix(std::min(comma + 1, list.size()));
  return item;
}

void dropHopByHop(std::vector<HeaderField> &fields) {
  // The names are the caller's, as many as fit into a head.
  std::set<std::string> named;
  for (const HeaderField &it : fields) {
    if (!equalIgnoringCase(it.Name, "connection:"))
      continue;
    std::string_view list = it.Value;
    while (!list.empty())
      named.insert(lowerCase(takeListItem(list)) + ":");
  }
  std::erase_if(fields, [&](const HeaderField &it) {
    return isHopByHop(it) || named.contains(lowerCase(it.Name));
  });
}

std::string frameChunk(std::string_view bytes, bool last) {
  std::string out;
  if (!bytes.empty()) {
    std::array<char, 16> size{};
    auto [end, ec] =
        std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16);
    out.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
  }
  if (last)
    out.append("0\r\n\r\n");
  return out;
}

void appendField(std::string &head, std::string_view name,
                 std::string_view value) {
  head.append(name).append(" ").append(value).append("\r\n");
}

std::string_view reasonPhrase(uint32_t status) {
  auto text = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(status));
  return {text.data(), text.size()};
}

} // namespace guavasail
