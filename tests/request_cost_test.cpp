/// \file
/// Work for requests whose size callers choose, within the limit of a head.
#include "catalog_index.h"
#include "guavasail/catalog.h"
#include "http_text.h"

#include <algorithm>
#include <ctime>
#include <gtest/gtest.h>
#include <string>
#include <string_view>
#include <vector>

namespace guavasail {

namespace {

constexpr size_t FewParts = 1000;
constexpr size_t Growth = 8;
/// Between linear growth, 8, and quadratic growth, 64.
constexpr double MaxCostGrowth = 24;
constexpr int Rounds = 5;

/// \returns the processor time of this thread in seconds.
double processorTime() {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) +
         static_cast<double>(now.tv_nsec) * 1e-9;
}

CatalogSpec catalogOfManyRoutes() {
  CatalogSpec catalog;
  catalog.Services.emplace_back().Name = "s";
  for (int n = 0; n < 40; ++n) {
    RouteSpec &route = catalog.Routes.emplace_back();
    route.Name = "r" + std::to_string(n);
    route.Prefix = "/r" + std::to_string(n) + "/";
    route.Service = "s";
  }
  return catalog;
}

/// Looks up a path of \p parts segments that no route matches.
void lookUpPath(size_t parts) {
  static const CatalogIndex Index = [] {
    CatalogIndex index;
    index.accept(catalogOfManyRoutes());
    return index;
  }();
  std::string path = "/none";
  for (size_t n = 0; n < parts; ++n)
    path += "/a";
  EXPECT_FALSE(Index.route("h", path).valid());
}

/// Reads \p parts header lines, and as many names in a Connection header.
void readConnectionNames(size_t parts) {
  std::vector<HeaderField> fields;
  std::string names;
  for (size_t n = 0; n < parts; ++n) {
    fields.push_back({"a:", ""});
    names += "b,";
  }
  fields.push_back({"connection:", names});
  dropHopByHop(fields);
  EXPECT_EQ(fields.size(), parts);
}

struct CostCase {
  std::string_view Name;
  void (*Run)(size_t parts);
};

constexpr CostCase CostCases[] = {
    {"PathSegments", &lookUpPath},
    {"ConnectionNames", &readConnectionNames},
};

std::ostream &operator<<(std::ostream &out, const CostCase &row) {
  return out << row.Name;
}

/// \returns the least processor time of several rounds in seconds.
double costOf(const CostCase &row, size_t parts) {
  double least = 1e9;
  for (int n = 0; n < Rounds; ++n) {
    double start = processorTime();
    row.Run(parts);
    least = std::min(least, processorTime() - start);
  }
  return least;
}

class RequestCost : public testing::TestWithParam<CostCase> {};

/// Guards against a request whose work grows with the square of its bytes, so
/// that a few callers keep a daemon from serving others.
TEST_P(RequestCost, GrowsWithTheBytes) {
  double few = costOf(GetParam(), FewParts);
  double many = costOf(GetParam(), FewParts * Growth);
  EXPECT_LT(many, few * MaxCostGrowth);
}

INSTANTIATE_TEST_SUITE_P(Table, RequestCost, testing::ValuesIn(CostCases),
                         [](const auto &it) {
                           return std::string(it.param.Name);
                         });

/// Which route a path has.
struct RouteCase {
  std::string_view Path;
  std::string_view Route;
};

constexpr RouteCase RouteCases[] = {
    {"/", ""},          {"/a", "short"},     {"/ab", ""},
    {"/a/", "short"},   {"/a/b", "long"},    {"/a/bc", "short"},
    {"/a/b/c", "long"}, {"/a//b", "short"},  {"/d", ""},
    {"/d/", "slash"},   {"/d/e/f", "slash"}, {"/none/a/b", ""},
};

std::ostream &operator<<(std::ostream &out, const RouteCase &row) {
  return out << row.Path;
}

class RouteOfPath : public testing::TestWithParam<RouteCase> {};

TEST_P(RouteOfPath, IsTheLongestPrefix) {
  CatalogSpec catalog;
  catalog.Services.emplace_back().Name = "s";
  for (auto [name, prefix] :
       {std::pair{"short", "/a"}, {"long", "/a/b"}, {"slash", "/d/"}}) {
    RouteSpec &route = catalog.Routes.emplace_back();
    route.Name = name;
    route.Prefix = prefix;
    route.Service = "s";
  }
  CatalogIndex index;
  index.accept(catalog);
  RouteHandle route = index.route("h", GetParam().Path);
  EXPECT_EQ(route.valid() ? index.name(route) : std::string_view(),
            GetParam().Route);
}

INSTANTIATE_TEST_SUITE_P(Table, RouteOfPath, testing::ValuesIn(RouteCases));

} // namespace

} // namespace guavasail
