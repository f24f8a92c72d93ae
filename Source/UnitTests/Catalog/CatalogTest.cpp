#include "Catalog/Catalog.h"

#include "Common/Hash.h"

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;
using namespace Tanagerbay::Catalog;

namespace {

struct CatalogFixture
{
    Tanagerbay::Catalog::Catalog catalog;

    CatalogFixture()
    {
        this->addRoute("short", "a.example", "/x/");
        this->addRoute("long", "a.example", "/x/y/");
        this->addRoute("other", "b.example", "/x/");
        this->catalog.workspaces.push_back({Common::WorkspaceId("w1"), 1});
        this->catalog.workspaceByKeyDigest[Common::secretDigestOf("secret")] = 0;
        indexRoutes(this->catalog);
    }

    void addRoute(const std::string &name, const std::string &host, const std::string &prefix)
    {
        Route route;
        route.name = name;
        route.host = host;
        route.pathPrefix = prefix;
        route.services = {{"first", 90}, {"second", 10}};
        this->catalog.routes.push_back(std::move(route));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CatalogLookup, CatalogFixture)

BOOST_AUTO_TEST_CASE(findRoute_twoPrefixesMatch_returnsTheLongest)
{
    BOOST_TEST(findRoute(this->catalog, "a.example", "/x/y/z")->name == "long");
    BOOST_TEST(findRoute(this->catalog, "a.example", "/x/z")->name == "short");
}

BOOST_AUTO_TEST_CASE(findRoute_unknownHostOrPath_returnsNull)
{
    BOOST_TEST(!findRoute(this->catalog, "c.example", "/x/y/z"));
    BOOST_TEST(!findRoute(this->catalog, "a.example", "/xy/"));
}

BOOST_AUTO_TEST_CASE(findWorkspace_keyOfAWorkspace_isFoundByItsDigest)
{
    BOOST_TEST(findWorkspace(this->catalog, "secret")->id.value == "w1");
    BOOST_TEST(!findWorkspace(this->catalog, "other"));
    BOOST_TEST(!findWorkspace(this->catalog, ""));
}

BOOST_AUTO_TEST_CASE(chooseService_drawsOverTheRange_followTheWeights)
{
    const Route &route = this->catalog.routes.front();
    BOOST_TEST(chooseService(route, 0.0) == "first");
    BOOST_TEST(chooseService(route, 0.89) == "first");
    BOOST_TEST(chooseService(route, 0.91) == "second");
    BOOST_TEST(chooseService(route, 0.9999) == "second");
}

// Guards against the idle connections of all instances exceeding an endpoint's limit, as seen with
// 91 instances and endpoints that accept 120 connections.
BOOST_AUTO_TEST_CASE(idleConnections_manyInstances_stayBelowTheEndpointsLimit)
{
    Service service;
    for (const std::uint32_t limit : {49u, 120u, 290u, 700u}) {
        service.maxConnections = limit;
        for (const std::size_t instances : {1u, 7u, 91u, 400u})
            BOOST_TEST(idleConnectionsAllowed(service, instances) * instances <= limit / 2);
    }
    service.maxConnections = 120;
    BOOST_TEST(idleConnectionsAllowed(service, 91) == 0u);
    BOOST_TEST(idleConnectionsAllowed(service, 7) > 0u);
}

BOOST_AUTO_TEST_CASE(isRepeatable_eachKind_followsFromKindAndResumability)
{
    Route route;
    route.kind = RouteKind::Idempotent;
    BOOST_TEST(isRepeatable(route));
    route.kind = RouteKind::NonIdempotent;
    route.resumable = true;
    BOOST_TEST(!isRepeatable(route));
    route.kind = RouteKind::Streaming;
    BOOST_TEST(isRepeatable(route));
    route.resumable = false;
    BOOST_TEST(!isRepeatable(route));
}

BOOST_AUTO_TEST_SUITE_END()
