#include "query_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace guavasail {

namespace {

using Json = nlohmann::ordered_json;
using Line = std::vector<std::string>;

constexpr size_t ColumnGap = 2;

std::vector<Line> makeLines(const QueryTable &table) {
  std::vector<Line> lines;
  lines.emplace_back(table.Columns.begin(), table.Columns.end());
  for (const auto &row : table.Rows) {
    Line &line = lines.emplace_back();
    for (const QueryCell &cell : row)
      line.push_back(cellText(cell));
  }
  return lines;
}

std::vector<size_t> columnWidths(const std::vector<Line> &lines) {
  std::vector<size_t> widths(lines.front().size());
  for (const Line &line : lines)
    for (size_t n = 0; n < line.size(); ++n)
      widths[n] = std::max(widths[n], line[n].size());
  return widths;
}

/// Converts a cell to a JSON value.
struct CellJsonEncoder {
  Json operator()(std::monostate) const { return nullptr; }
  Json operator()(const std::string &value) const { return value; }
  Json operator()(uint64_t value) const { return value; }
};

/// Serializes \p json, replacing bytes that are not UTF-8: names may hold any
/// bytes.
std::string dumpJson(const Json &json) {
  constexpr int NoIndent = -1;
  return json.dump(NoIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

} // namespace

std::string formatTable(const QueryTable &table) {
  std::vector<Line> lines = makeLines(table);
  std::vector<size_t> widths = columnWidths(lines);
  std::string out;
  for (const Line &line : lines) {
    for (size_t n = 0; n + 1 < line.size(); ++n) {
      out += line[n];
      out.append(widths[n] - line[n].size() + ColumnGap, ' ');
    }
    out += line.back() + "\n";
  }
  if (table.OmittedRows > 0)
    out += std::to_string(table.OmittedRows) + " more match\n";
  return out;
}

std::string formatJson(const QueryTable &table) {
  Json rows = Json::array();
  for (const auto &row : table.Rows) {
    Json object = Json::object();
    for (size_t n = 0; n < row.size(); ++n)
      object[std::string(table.Columns[n])] =
          std::visit(CellJsonEncoder{}, row[n]);
    rows.push_back(std::move(object));
  }
  return dumpJson(Json{{"rows", std::move(rows)}, {"more", table.OmittedRows}});
}

std::string formatFailure(const QueryFailure &failure) {
  return "column " + std::to_string(failure.Column) + ": expected " +
         failure.Expected + "\n";
}

std::string formatFailureJson(const QueryFailure &failure) {
  return dumpJson(
      Json{{"column", failure.Column}, {"expected", failure.Expected}});
}

} // namespace guavasail
