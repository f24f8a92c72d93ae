// What a run of the load generator found.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Load {

enum class AnswerState {
    // Whole, correct and within the deadline.
    InTime,
    // Whole and correct, after the deadline.
    Late,
    // Refused, and said not to have run.
    Refused,
    // Failed, cut off, or of unknown outcome.
    Failed,
};

// How one request ended.
struct AnswerRecord
{
    std::string action;
    std::string plan;
    AnswerState state = AnswerState::Failed;
    std::string code;
    Common::Duration duration{0};
    Common::Duration firstToken{0};
    std::uint32_t tries = 0;
    std::uint64_t tokens = 0;
    std::vector<float> tokenGapsMs;
    // Promises that the answer broke, in words.
    std::vector<std::string> broken;
    std::string idempotencyKey;
    std::string service;
    // Whether the caller was told that the call ran, or that it did not.
    bool toldRan = false;
    bool toldNotRun = false;
};

class Report
{
public:
    void add(AnswerRecord record);
    void merge(Report &&other);
    // Compares what callers were told with the services' own counts of runs.
    void checkRuns(const boost::json::value &countsBefore, const boost::json::value &countsAfter);
    // Takes the stages' busy time from the stand-ins' counts.
    void takeCosts(const boost::json::value &countsBefore, const boost::json::value &countsAfter);

    std::uint64_t brokenCount() const
    {
        return this->broken.size();
    }
    boost::json::object toJson(double seconds) const;
    std::string toText(double seconds) const;

private:
    struct PlanRow
    {
        std::uint64_t offered = 0;
        std::uint64_t inTime = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::uint64_t failed = 0;
        std::vector<float> durationsMs;
    };

    std::map<std::string, PlanRow> plans;
    std::map<std::string, std::uint64_t> codes;
    std::vector<float> firstTokensMs;
    std::vector<float> gapsMs;
    std::uint64_t tokens = 0;
    std::uint64_t extraTries = 0;
    std::map<std::string, double> busySeconds;
    std::vector<std::string> broken;
    struct KeyRow
    {
        std::string service;
        bool toldRan = false;
        bool toldNotRun = false;
    };
    std::map<std::string, KeyRow> keys;
};

} // namespace Tanagerbay::Load
