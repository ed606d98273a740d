#include "query_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavasail {

namespace {

using Json = nlohmann::ordered_json;
using Line = std::vector<std::string>;

constexpr size_t ColumnGap = 2;

std::vector<Line> linesOf(const QueryAnswer &answer) {
  std::vector<Line> lines;
  lines.emplace_back(answer.Columns.begin(), answer.Columns.end());
  for (const auto &row : answer.Rows) {
    Line &line = lines.emplace_back();
    for (const QueryCell &cell : row)
      line.push_back(cellText(cell));
  }
  return lines;
}

std::vector<size_t> widthsOf(const std::vector<Line> &lines) {
  std::vector<size_t> widths(lines.front().size());
  for (const Line &line : lines)
    for (size_t n = 0; n < line.size(); ++n)
      widths[n] = std::max(widths[n], line[n].size());
  return widths;
}

/// Writes a cell for programs.
struct CellEncoder {
  Json operator()(std::monostate) const { return nullptr; }
  Json operator()(const std::string &value) const { return value; }
  Json operator()(uint64_t value) const { return value; }
};

/// Names may hold bytes that are not UTF-8; they are replaced.
std::string dump(const Json &json) {
  constexpr int NoIndent = -1;
  return json.dump(NoIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

std::string formatTable(const QueryAnswer &answer) {
  std::vector<Line> lines = linesOf(answer);
  std::vector<size_t> widths = widthsOf(lines);
  std::string out;
  for (const Line &line : lines) {
    for (size_t n = 0; n + 1 < line.size(); ++n) {
      out += line[n];
      out.append(widths[n] - line[n].size() + ColumnGap, ' ');
    }
    out += line.back() + "\n";
  }
  if (answer.More > 0)
    out += std::to_string(answer.More) + " more match\n";
  return out;
}

std::string formatJson(const QueryAnswer &answer) {
  Json rows = Json::array();
  for (const auto &row : answer.Rows) {
    Json object = Json::object();
    for (size_t n = 0; n < row.size(); ++n)
      object[std::string(answer.Columns[n])] =
          std::visit(CellEncoder{}, row[n]);
    rows.push_back(std::move(object));
  }
  return dump(Json{{"rows", std::move(rows)}, {"more", answer.More}});
}

std::string formatFailure(const QueryFailure &failure) {
  return "column " + std::to_string(failure.Column) + ": expected " +
         failure.Expected + "\n";
}

std::string formatFailureJson(const QueryFailure &failure) {
  return dump(Json{{"column", failure.Column}, {"expected", failure.Expected}});
}

} // namespace guavasail
