#include "Common/Build.h"

#include "BuildName.h"

namespace Tanagerbay::Common {

std::string_view buildName()
{
    return TANAGERBAY_BUILD_NAME;
}

} // namespace Tanagerbay::Common
