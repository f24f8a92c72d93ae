// Beliefs about which shared parts of prompts an engine has cached, from this instance's own sends.
//
// A wrong belief costs the reading of the part, never an answer.
#pragma once

#include "Common/Time.h"
#include "Routing/Endpoint.h"

#include <string_view>
#include <unordered_map>
#include <vector>

namespace Tanagerbay::Routing {

// A part that requests share.
struct SharedPart
{
    std::string_view id;
    std::uint64_t tokens = 0;
};

class CachedParts
{
public:
    // Records that a request with the part was sent to the endpoint.
    void noteSent(std::string_view part, const Endpoint &endpoint, Common::Time now);
    // Whether the part was sent to this process of the endpoint lately.
    bool wasSent(std::string_view part, const Endpoint &endpoint, Common::Time now) const;
    // Number of sends of the part to any endpoint lately.
    std::uint32_t countSends(std::string_view part, Common::Time now) const;
    std::size_t size() const
    {
        return this->records.size();
    }

private:
    struct Send
    {
        // Hash of the endpoint's process.
        std::uint64_t process = 0;
        Common::Time at;
    };
    // The last sends of one part, the oldest first.
    using Record = std::vector<Send>;

    void makeRoom(Common::Time now);

    // By the hash of the part's name.
    std::unordered_map<std::uint64_t, Record> records;
};

} // namespace Tanagerbay::Routing
