// Evidence as instances gather it about a simulated fleet.
#pragma once

#include "Quarantine/Verdict.h"

#include <algorithm>

namespace Tanagerbay::QuarantineTests {

using namespace Quarantine;

// Traits of requests in these tests.
constexpr Trait kFirst = 1;
constexpr Trait kSession = 2;
constexpr Trait kOther = 3;
constexpr Trait kDeadly = 100;
constexpr Trait kSecondDeadly = 101;

struct QuarantineFixture
{
    Common::Time now = Common::Time(std::chrono::seconds(1000));
    Evidence evidence;
    int crashCount = 0;

    void wait(Common::Milliseconds period)
    {
        this->now += period;
    }

    // Time in which evidence spreads and settles.
    void waitUntilCrashesCount()
    {
        this->wait(Common::Milliseconds(300));
    }

    Crash nextCrash(std::vector<Trait> suspects)
    {
        const std::string name = "engine-" + std::to_string(++this->crashCount);
        std::sort(suspects.begin(), suspects.end());
        return {{Common::EndpointId(name), 1}, this->now, std::move(suspects)};
    }

    // An engine crashes while requests with these traits wait for their answers.
    void crash(std::vector<Trait> suspects)
    {
        mergeCrash(this->evidence, this->nextCrash(std::move(suspects)), this->now);
        this->waitUntilCrashesCount();
    }

    void answer(const std::vector<Trait> &traits)
    {
        noteAnswerBegun(this->evidence, traits, this->now);
    }

    bool isQuarantined(const std::vector<Trait> &traits) const
    {
        const auto suspicions = quarantined(this->evidence, this->now);
        return findSuspicion(suspicions, traits) != nullptr;
    }
};

} // namespace Tanagerbay::QuarantineTests
