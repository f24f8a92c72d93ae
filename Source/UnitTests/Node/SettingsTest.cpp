#include "Node/Settings.h"
#include "Load/Workload.h"
#include "StandIns/Settings.h"

#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

using namespace Tanagerbay;

namespace {

struct ExamplesFixture
{
    Common::JsonFaults faults;

    boost::json::value read(const std::string &deployment, const std::string &name)
    {
        std::ifstream file(std::string(TANAGERBAY_SOURCE_DIR) + "/Examples/" + deployment + "/"
                           + name);
        std::ostringstream text;
        text << file.rdbuf();
        return Common::parseJson(text.str(), this->faults).value_or(nullptr);
    }

    std::string faultText() const
    {
        return Common::describeFaults(this->faults);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SettingsFiles, ExamplesFixture)

BOOST_AUTO_TEST_CASE(examples_bothDeployments_areValid)
{
    for (const char *deployment : {"hanbit", "association"}) {
        Node::parseSettings(this->read(deployment, "entry.json"), this->faults);
        StandIns::parseSettings(this->read(deployment, "standins.json"), this->faults);
        Load::parseWorkload(this->read(deployment, "workload.json"), this->faults);
        BOOST_TEST(this->faultText() == "");
    }
}

BOOST_AUTO_TEST_CASE(settings_severalFaults_areAllReportedAtOnce)
{
    boost::json::value document = this->read("hanbit", "entry.json");
    boost::json::object &root = document.as_object();
    root["threads"] = "two";
    root["colour"] = 1;
    root["caller"].as_object()["address"] = "localhost:7";
    root["peer"].as_object()["suspectAfterMs"] = 600;
    root["once"].as_object()["claimTimeoutMs"] = 7;
    root["pipelines"].as_array()[0].at("stages").as_array()[0].as_object()["pool"] = "nowhere";
    root["operator"].as_object().erase("tokenSha256");
    Node::parseSettings(document, this->faults);
    for (const char *path :
         {"threads", "colour", "caller.address", "peer.suspectAfterMs", "once.claimTimeoutMs",
          "pipelines[0].stages[0].pool", "operator.tokenSha256"})
        BOOST_TEST(this->faultText().find(std::string(path) + ": ") != std::string::npos, path);
    BOOST_TEST(this->faults.size() == 7u);
}

BOOST_AUTO_TEST_CASE(settings_duplicatePort_isReported)
{
    boost::json::value document = this->read("hanbit", "entry.json");
    document.at("peer").as_object()["address"] = document.at("caller").at("address");
    Node::parseSettings(document, this->faults);
    BOOST_TEST(this->faultText().find("peer.address") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_notAnObject_isReported)
{
    Node::parseSettings(boost::json::array{}, this->faults);
    BOOST_TEST(!this->faults.empty());
}

BOOST_AUTO_TEST_SUITE_END()
