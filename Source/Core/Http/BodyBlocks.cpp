#include "Http/BodyBlocks.h"

#include <algorithm>

namespace Tanagerbay::Http {

namespace {

constexpr std::size_t kFirstBlockBytes = 512;
// Blocks of this size are mappings of their own (`boundAllocator`), which the system gets back at
// once.
constexpr std::size_t kMaxBlockBytes = 128 << 10;

} // namespace

void BodyBlocks::append(std::string_view bytes)
{
    while (!bytes.empty()) {
        if (this->blocks.empty() || this->blocks.back().size() == this->blocks.back().capacity()) {
            const std::size_t wanted = this->blocks.empty()
                ? std::max(kFirstBlockBytes, std::min(bytes.size(), kMaxBlockBytes))
                : std::min(this->blocks.back().capacity() * 2, kMaxBlockBytes);
            this->blocks.emplace_back().reserve(wanted);
            this->reserved += this->blocks.back().capacity();
        }
        std::string &block = this->blocks.back();
        const std::size_t length = std::min(bytes.size(), block.capacity() - block.size());
        block.append(bytes.substr(0, length));
        bytes.remove_prefix(length);
        this->count += length;
    }
}

std::size_t BodyBlocks::size() const
{
    return this->count;
}

std::size_t BodyBlocks::heldBytes() const
{
    return this->reserved;
}

std::string BodyBlocks::join()
{
    std::string whole;
    if (this->blocks.size() == 1) {
        whole = std::move(this->blocks.front());
    } else {
        whole.reserve(this->count);
        for (std::string &block : this->blocks) {
            whole.append(block);
            std::string().swap(block);
        }
    }
    *this = {};
    return whole;
}

} // namespace Tanagerbay::Http
