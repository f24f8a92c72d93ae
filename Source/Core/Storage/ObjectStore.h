// Client of the platform's object store: `PUT|GET|DELETE /v1/objects/{name}`.
#pragma once

#include "Common/Time.h"
#include "Http/Client.h"

#include <optional>

namespace Tanagerbay::Storage {

class ObjectStore
{
public:
    ObjectStore(Http::Client &client, Http::Address address, Common::Milliseconds callTimeout);

    // Returns whether the store confirmed the write. On false, the object may be stored or not.
    Http::Awaitable<bool> put(std::string name, std::string body);
    // Returns the object, or nothing if it is absent or the call failed.
    Http::Awaitable<std::optional<std::string>> get(std::string name);
    // Returns whether the store confirmed that the object is absent.
    Http::Awaitable<bool> remove(std::string name);

private:
    Http::Awaitable<Http::CallResult<Http::Response>> call(std::string method, std::string name,
                                                           std::string body);

    Http::Client &client;
    Http::Address address;
    Common::Milliseconds callTimeout;
};

} // namespace Tanagerbay::Storage
