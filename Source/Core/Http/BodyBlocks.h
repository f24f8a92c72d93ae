// Bytes of a body as they arrive, in blocks. A text that grows would be copied, and exist twice,
// each time it has to be moved; and what a peer announces is not reserved before it has come.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Tanagerbay::Http {

class BodyBlocks
{
public:
    void append(std::string_view bytes);
    std::size_t size() const;
    // Memory that the blocks take.
    std::size_t heldBytes() const;
    // Returns all bytes as one text and gives the blocks back, each as soon as it is copied.
    std::string join();

private:
    std::vector<std::string> blocks;
    std::size_t count = 0;
    std::size_t reserved = 0;
};

} // namespace Tanagerbay::Http
