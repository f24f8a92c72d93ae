// Runs an entry instance and the stand-ins in the test process, on free loopback ports.
#pragma once

#include "Node/Instance.h"
#include "StandIns/Host.h"

#include <memory>

namespace Tanagerbay::Tests {

struct Reply
{
    // Zero if there was no response.
    unsigned status = 0;
    std::string body;
    Http::Headers headers;
};

class InstanceFixture
{
public:
    // `changes` replaces members of the instance's settings, section by section. Engines have the
    // software versions given, in order; the others state none.
    explicit InstanceFixture(const boost::json::object &changes = {},
                             std::vector<std::string> engineVersions = {});
    ~InstanceFixture();

protected:
    // Sends one request and waits for the complete response.
    Reply call(const Common::Address &address, Http::Request request);
    Reply pipeline(const std::string &name, const std::string &body);
    Reply service(const std::string &name, const std::string &path, const std::string &key,
                  const std::string &body);
    Reply operatorCall(const std::string &method, const std::string &target,
                       const std::string &body, const std::string &ifMatch);
    // Sends raw bytes and returns everything received until the connection closes.
    std::string rawCall(const std::string &bytes);
    // Sends raw bytes, reads until the response contains `until`, and closes the connection.
    std::string callAndDisconnect(const std::string &bytes, const std::string &until);
    // Sends a request and closes the connection immediately, without reading the response.
    void sendAndDisconnect(const std::string &bytes);

    // Sends a request, runs the action once the response contains `until`, and reads the rest.
    Reply callAndInterrupt(Http::Request request, const std::string &until,
                           const std::function<void()> &action);

    // Replaces the process of an engine by one of another software version.
    void restartEngine(const std::string &id, const std::string &version, bool isListed = true);
    void setFault(const std::string &target, const std::string &kind, double probability = 1,
                  double value = 1);
    void clearFaults();
    // Returns how often calls with the caller's key ran, as counted by the services.
    std::uint64_t runsOf(const std::string &callerKey);
    std::map<std::string, std::uint64_t> tokensByEngine();
    boost::json::value counts();
    std::uint64_t counter(Common::Counter counter);

    Common::Address callerAddress;
    Common::Address operatorAddress;
    Common::Address control;
    std::unique_ptr<StandIns::Host> host;
    std::unique_ptr<Node::Instance> instance;

private:
    boost::json::value standInSettings();
    boost::json::value entrySettings(const boost::json::object &changes);
    void putLists();
    std::string nextAddress();

    std::vector<std::string> engineVersions;
    std::map<std::string, std::string> addresses;
};

} // namespace Tanagerbay::Tests
