#include "Http/SpareDescriptor.h"

#include <cerrno>

#include <fcntl.h>
#include <unistd.h>

namespace Tanagerbay::Http {

SpareDescriptor::SpareDescriptor()
{
    this->restore();
}

SpareDescriptor::~SpareDescriptor()
{
    this->release();
}

bool SpareDescriptor::release()
{
    if (this->descriptor < 0)
        return false;
    ::close(this->descriptor);
    this->descriptor = -1;
    return true;
}

bool SpareDescriptor::restore()
{
    if (this->descriptor < 0)
        this->descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    return this->descriptor >= 0 || (errno != EMFILE && errno != ENFILE);
}

} // namespace Tanagerbay::Http
