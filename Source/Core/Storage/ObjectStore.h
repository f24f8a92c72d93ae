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

    // Returns whether the object is known to be stored.
    Http::Awaitable<bool> put(std::string name, std::string body);
    // Returns the object, or nothing where it is absent or the store failed.
    Http::Awaitable<std::optional<std::string>> get(std::string name);
    Http::Awaitable<bool> remove(std::string name);

private:
    Http::Awaitable<Http::CallResult<Http::Response>> call(std::string method, std::string name,
                                                           std::string body);

    Http::Client &client;
    Http::Address address;
    Common::Milliseconds callTimeout;
};

} // namespace Tanagerbay::Storage
