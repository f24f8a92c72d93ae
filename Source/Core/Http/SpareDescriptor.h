// A file descriptor that is held back, so that a process that has none left can still accept a
// connection in order to refuse it.
#pragma once

namespace Tanagerbay::Http {

class SpareDescriptor
{
public:
    SpareDescriptor();
    ~SpareDescriptor();
    SpareDescriptor(const SpareDescriptor &) = delete;
    SpareDescriptor &operator=(const SpareDescriptor &) = delete;

    // Makes the descriptor available. Returns false if it was not held.
    bool release();
    // Holds a descriptor again unless one is held. Returns false if the process has none left.
    bool restore();

private:
    int descriptor = -1;
};

} // namespace Tanagerbay::Http
