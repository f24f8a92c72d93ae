// Which build of the program this is.
#pragma once

#include <string_view>

namespace Tanagerbay::Common {

// Returns the commit that was built, with "+" behind it if its sources had been changed. Without a
// repository, returns a digest of the sources.
std::string_view buildName();

} // namespace Tanagerbay::Common
