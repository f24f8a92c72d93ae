#include "Storage/InstanceList.h"

#include "Common/Clock.h"
#include "Common/JsonReader.h"

namespace Tanagerbay::Storage {

namespace {

ListedInstance readInstance(const boost::json::value &value, std::string path,
                            Common::JsonFaults &faults)
{
    Common::ObjectReader reader(value, std::move(path), faults);
    ListedInstance instance;
    instance.id = Common::InstanceId(reader.text("id"));
    instance.pool = reader.text("pool", "");
    if (!Http::parseAddress(reader.text("address"), instance.address))
        reader.fault("address", "must be ip:port");
    const std::string peerAddress = reader.text("peerAddress", "");
    if (!peerAddress.empty() && !Http::parseAddress(peerAddress, instance.peerAddress))
        reader.fault("peerAddress", "must be ip:port");
    instance.failureDomain = Common::FailureDomain(reader.text("failureDomain"));
    const auto state = Common::valueNamed<InstanceState>(reader.text("state"));
    if (!state)
        reader.fault("state", "must be live or leaving");
    instance.state = state.value_or(InstanceState::Live);
    instance.version = reader.text("version", "");
    if (!Common::isVisibleText(instance.version, Common::kMaxVersionLength))
        reader.fault("version", "must be at most 128 visible ASCII characters");
    return instance;
}

} // namespace

InstanceList::InstanceList(Http::Client &client, Http::Address address,
                           Common::Milliseconds callTimeout)
    : client(client), address(std::move(address)), callTimeout(callTimeout)
{
}

Http::Awaitable<std::optional<std::vector<ListedInstance>>> InstanceList::read()
{
    Http::CallOptions options;
    options.deadline = Common::clockNow() + this->callTimeout;
    Http::Request request{"GET", "/v1/instances", {}, ""};
    const auto reply = co_await this->client.call(this->address, std::move(request), options);
    if (!reply || reply->status != 200)
        co_return std::nullopt;
    Common::JsonFaults faults;
    const auto document = Common::parseJson(reply->body, faults);
    if (!document)
        co_return std::nullopt;
    Common::ObjectReader reader(*document, "", faults);
    std::vector<ListedInstance> instances;
    const boost::json::array &entries = reader.array("instances", true);
    for (std::size_t i = 0; i < entries.size(); ++i)
        instances.push_back(readInstance(entries[i], reader.pathOf("instances", i), faults));
    if (!faults.empty())
        co_return std::nullopt;
    co_return instances;
}

} // namespace Tanagerbay::Storage
