/// \file
/// Runs session scripts against a reducer in virtual time.
#ifndef GUAVASAIL_TESTS_SESSION_H
#define GUAVASAIL_TESTS_SESSION_H

#include "guavasail/catalog.h"
#include "guavasail/reducer.h"

#include <string>
#include <string_view>

namespace guavasail {

/// \returns a small catalog: service "wind" with three instances in two zones,
/// service "notices" with two, workspaces "school" and "harbour".
CatalogSpec sampleCatalog();

/// \returns the digest of the test key \p name.
Digest sampleDigest(std::string_view name);

/// \returns one line that describes \p effect.
std::string effectText(const Effect &effect);

/// Runs the input lines ("> ...") of \p script.
/// \returns the input lines, each followed by the effects that it caused.
std::string runSession(std::string_view script);

} // namespace guavasail

#endif
