// Results of a run of the load generator.
#pragma once

#include "Common/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <boost/json.hpp>

namespace Tanagerbay::Load {

enum class AnswerState {
    // Complete and received within the deadline.
    InTime,
    // Complete, but received after the deadline.
    Late,
    // Refused and reported as not run.
    Refused,
    // Failed, truncated, or with an unknown outcome.
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
    std::uint32_t attempts = 0;
    std::uint64_t tokens = 0;
    std::vector<float> tokenGapsMs;
    // Descriptions of the guarantees that the answer violated.
    std::vector<std::string> violations;
    std::string idempotencyKey;
    std::string service;
    // Whether the caller was informed that the call ran, or that it did not run.
    bool reportedRun = false;
    bool reportedNotRun = false;
};

class Report
{
public:
    void add(AnswerRecord record);
    void merge(Report &&other);
    // Compares the outcomes reported to callers with the run counts of the services.
    void checkRuns(const boost::json::value &countsBefore, const boost::json::value &countsAfter);
    // Computes the busy time of each pool during the run from the counts of the stand-ins.
    void recordCosts(const boost::json::value &countsBefore, const boost::json::value &countsAfter);

    std::uint64_t violationCount() const
    {
        return this->violations.size();
    }
    boost::json::object toJson(double seconds) const;
    std::string toText(double seconds) const;

private:
    struct PlanTotals
    {
        std::uint64_t offered = 0;
        std::uint64_t inTime = 0;
        std::uint64_t late = 0;
        std::uint64_t refused = 0;
        std::uint64_t failed = 0;
        std::vector<float> durationsMs;
    };

    std::map<std::string, PlanTotals> plans;
    std::map<std::string, std::uint64_t> codes;
    std::vector<float> firstTokensMs;
    std::vector<float> gapsMs;
    std::uint64_t tokens = 0;
    std::uint64_t extraAttempts = 0;
    std::map<std::string, double> busySeconds;
    std::vector<std::string> violations;
    struct KeyedCall
    {
        std::string service;
        bool reportedRun = false;
        bool reportedNotRun = false;
    };
    std::map<std::string, KeyedCall> keys;
};

} // namespace Tanagerbay::Load
