#include "Entry/PaceWatch.h"

#include <cmath>

namespace Tanagerbay::Entry {

namespace json = boost::json;

namespace {

constexpr const char *kPaces = "endpointPaces";
// With so many beside its other news, a datagram stays below the usual packet size.
constexpr std::size_t kPacesPerMessage = 6;
constexpr double kPrecision = 1000;

// Positions of the values of an encoded pace.
enum PaceField : std::size_t {
    EndpointField,
    IncarnationField,
    RelativeField,
    SamplesField,
    Count
};

} // namespace

PaceWatch::PaceWatch(State &state, Gossip &gossip) : state(state), gossip(gossip)
{
}

void PaceWatch::start()
{
    this->gossip.onDatagram(
        [this](json::object &message, std::uint32_t repeats) {
            this->attach(message, repeats);
            // News of instances are not held back for paces.
            return false;
        },
        [this](const json::object &message) { this->read(message); });
}

void PaceWatch::publish(const Routing::Endpoint &endpoint)
{
    Membership::publish(this->news, endpoint.id, endpoint.id);
}

Routing::Endpoint *PaceWatch::find(const Common::EndpointId &id)
{
    for (auto &[service, pool] : this->state.pools) {
        const auto found = pool.indexById.find(id);
        if (found != pool.indexById.end())
            return &pool.endpoints[found->second];
    }
    return nullptr;
}

void PaceWatch::attach(json::object &message, std::uint32_t repeats)
{
    json::array paces;
    for (const Common::EndpointId &id :
         Membership::takeNews(this->news, kPacesPerMessage, repeats)) {
        if (const Routing::Endpoint *endpoint = this->find(id))
            paces.push_back(
                json::array{id.value, endpoint->incarnation,
                            std::round(endpoint->lastingPace.relative * kPrecision) / kPrecision,
                            endpoint->lastingPace.samples});
    }
    if (!paces.empty())
        message[kPaces] = std::move(paces);
}

void PaceWatch::read(const json::object &message)
{
    const json::value *paces = message.if_contains(kPaces);
    if (!paces || !paces->is_array())
        return;
    for (const json::value &each : paces->get_array()) {
        if (!each.is_array() || each.get_array().size() < Count
            || !each.get_array()[EndpointField].is_string())
            continue;
        const json::array &fields = each.get_array();
        boost::system::error_code failed;
        const auto incarnation = fields[IncarnationField].to_number<std::uint64_t>(failed);
        boost::system::error_code failedPace;
        const auto relative = fields[RelativeField].to_number<double>(failedPace);
        boost::system::error_code failedSamples;
        const auto samples = fields[SamplesField].to_number<std::uint64_t>(failedSamples);
        if (failed || failedPace || failedSamples)
            continue;
        Routing::Endpoint *endpoint
            = this->find(Common::EndpointId(std::string(fields[EndpointField].get_string())));
        if (endpoint && endpoint->incarnation == incarnation
            && Routing::mergePace(endpoint->lastingPace, {relative, samples}))
            this->publish(*endpoint);
    }
}

} // namespace Tanagerbay::Entry
