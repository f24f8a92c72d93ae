#include "Entry/ReaderMessages.h"

#include "Entry/PeerMesh.h"

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

json::array positionToJson(const StorePosition &position)
{
    return {position.epoch, position.version};
}

std::uint64_t numberIn(const json::value &value)
{
    if (value.is_uint64())
        return value.get_uint64();
    return value.is_int64() && value.get_int64() >= 0
        ? static_cast<std::uint64_t>(value.get_int64())
        : 0;
}

std::optional<StorePosition> positionFromJson(const json::array *fields)
{
    if (!fields || fields->size() != 2)
        return std::nullopt;
    return StorePosition{numberIn((*fields)[0]), numberIn((*fields)[1])};
}

std::optional<ListedEndpoint> endpointFromJson(const json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    const json::object &object = value.get_object();
    ListedEndpoint endpoint;
    endpoint.service = textOf(object, "service");
    endpoint.sequence = numberOf(object, "sequence");
    endpoint.entry.id = Common::EndpointId(textOf(object, "id"));
    endpoint.entry.failureDomain = Common::FailureDomain(textOf(object, "domain"));
    endpoint.entry.incarnation = numberOf(object, "incarnation");
    endpoint.entry.version = textOf(object, "version");
    endpoint.entry.slots = static_cast<std::uint32_t>(numberOf(object, "slots"));
    const auto state = Common::valueNamed<Routing::EndpointState>(textOf(object, "state"));
    if (!state || endpoint.entry.id.empty()
        || !Common::parseAddress(textOf(object, "address"), endpoint.entry.address))
        return std::nullopt;
    endpoint.entry.state = *state;
    // A reader of an earlier release does not pass it on.
    if (object.contains("coldLeftMs"))
        endpoint.coldLeft = Common::Milliseconds(numberOf(object, "coldLeftMs"));
    return endpoint;
}

} // namespace

json::object changesToJson(const EndpointChanges &changes)
{
    json::array listed;
    for (const ListedEndpoint &endpoint : changes.listed) {
        const Routing::EndpointEntry &entry = endpoint.entry;
        listed.push_back({{"service", endpoint.service},
                          {"sequence", endpoint.sequence},
                          {"id", entry.id.value},
                          {"address", Common::formatAddress(entry.address)},
                          {"domain", entry.failureDomain.value},
                          {"incarnation", entry.incarnation},
                          {"version", entry.version},
                          {"slots", entry.slots},
                          {"state", Common::nameOf(entry.state)}});
        if (endpoint.coldLeft)
            listed.back().as_object()["coldLeftMs"] = endpoint.coldLeft->count();
    }
    json::array dropped;
    for (const DroppedEntry &entry : changes.dropped)
        dropped.push_back(json::array{entry.id.value, entry.incarnation, entry.sequence});
    json::object object;
    object["from"] = positionToJson(changes.from);
    object["to"] = positionToJson(changes.to);
    if (!listed.empty())
        object["listed"] = std::move(listed);
    if (!dropped.empty())
        object["dropped"] = std::move(dropped);
    return object;
}

std::optional<EndpointChanges> changesFromJson(const json::value &value)
{
    if (!value.is_object())
        return std::nullopt;
    const json::object &object = value.get_object();
    const auto from = positionFromJson(arrayOf(object, "from"));
    const auto to = positionFromJson(arrayOf(object, "to"));
    if (!from || !to)
        return std::nullopt;
    EndpointChanges changes{*from, *to, {}, {}};
    if (const json::array *listed = arrayOf(object, "listed")) {
        for (const json::value &entry : *listed) {
            auto endpoint = endpointFromJson(entry);
            if (!endpoint)
                return std::nullopt;
            changes.listed.push_back(std::move(*endpoint));
        }
    }
    if (const json::array *dropped = arrayOf(object, "dropped")) {
        for (const json::value &value : *dropped) {
            if (!value.is_array() || value.get_array().size() < 3
                || !value.get_array()[0].is_string())
                return std::nullopt;
            const json::array &fields = value.get_array();
            changes.dropped.push_back({Common::EndpointId(std::string(fields[0].get_string())),
                                       numberIn(fields[1]), numberIn(fields[2])});
        }
    }
    return changes;
}

} // namespace Tanagerbay::Entry
