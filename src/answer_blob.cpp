#include "answer_blob.h"

#include <nlohmann/json.hpp>

namespace guavasail {

namespace {

using nlohmann::json;

constexpr size_t BlobParts = 3;
/// Only final responses are kept.
constexpr uint64_t FirstStatus = 200;
constexpr uint64_t LastStatus = 599;

std::optional<KeptAnswer> readAnswer(const json &blob) {
  if (!blob.is_array() || blob.size() != BlobParts)
    return std::nullopt;
  bool typed =
      blob[0].is_number_unsigned() && blob[1].is_array() && blob[2].is_binary();
  if (!typed)
    return std::nullopt;
  auto status = blob[0].get<uint64_t>();
  if (status < FirstStatus || status > LastStatus)
    return std::nullopt;
  KeptAnswer answer;
  answer.Head.Status = static_cast<uint32_t>(status);
  for (const json &field : blob[1]) {
    bool pair = field.is_array() && field.size() == 2 && field[0].is_string() &&
                field[1].is_string();
    if (!pair)
      return std::nullopt;
    answer.Head.Fields.push_back(
        {field[0].get<std::string>(), field[1].get<std::string>()});
  }
  const auto &body = blob[2].get_binary();
  answer.Body.assign(body.begin(), body.end());
  answer.Head.Length = answer.Body.size();
  return answer;
}

} // namespace

std::string encodeAnswer(const AnswerHead &head, std::string_view body) {
  json fields = json::array();
  for (const HeaderField &field : head.Fields)
    fields.push_back({field.Name, field.Value});
  json blob = json::array({head.Status, std::move(fields),
                           json::binary({body.begin(), body.end()})});
  std::string out;
  json::to_cbor(blob, out);
  return out;
}

std::optional<KeptAnswer> decodeAnswer(std::string_view blob) {
  json value = json::from_cbor(blob.begin(), blob.end(), true, false);
  return value.is_discarded() ? std::nullopt : readAnswer(value);
}

} // namespace guavasail
