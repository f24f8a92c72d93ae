#include "Storage/ObjectStore.h"

#include "Common/Clock.h"

namespace Tanagerbay::Storage {

ObjectStore::ObjectStore(Http::Client &client, Http::Address address,
                         Common::Milliseconds callTimeout)
    : client(client), address(std::move(address)), callTimeout(callTimeout)
{
}

Http::Awaitable<Http::CallResult<Http::Response>>
ObjectStore::call(std::string method, std::string name, std::string body)
{
    Http::Request request{std::move(method), "/v1/objects/" + name, {}, std::move(body)};
    Http::CallOptions options;
    options.deadline = Common::clockNow() + this->callTimeout;
    // Writes are confirmed by their status.
    options.requiresFraming = request.method == "GET";
    co_return co_await this->client.call(this->address, std::move(request), options);
}

Http::Awaitable<bool> ObjectStore::put(std::string name, std::string body)
{
    const auto reply = co_await this->call("PUT", std::move(name), std::move(body));
    co_return reply && reply->status == 200;
}

Http::Awaitable<std::optional<std::string>> ObjectStore::get(std::string name)
{
    auto reply = co_await this->call("GET", std::move(name), "");
    if (!reply || reply->status != 200)
        co_return std::nullopt;
    co_return std::move(reply->body);
}

Http::Awaitable<bool> ObjectStore::remove(std::string name)
{
    const auto reply = co_await this->call("DELETE", std::move(name), "");
    co_return reply && (reply->status == 200 || reply->status == 404);
}

} // namespace Tanagerbay::Storage
