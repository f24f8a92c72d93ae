// The deployments that the rig plays: services, kinds of request and their routes.
#pragma once

#include "../standin/Streams.h"

namespace Review {

constexpr int kModelWorkers = 6;
constexpr int kPlainWorkers = 4;
constexpr int kHeartbeatMs = 1200;

using Random = std::mt19937_64;

inline int between(Random &random, int low, int high)
{
    return std::uniform_int_distribution<int>(low, high)(random);
}

inline bool happens(Random &random, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

struct Kind
{
    std::string name;
    bool isStream;
    // A stream that may go on at another worker, or a plain request that may run again.
    bool mayRunAgain;
    int objectiveMs;
    int deadlineMs;
    int maxAttempts;
    // Events of a stream.
    int fewest = 0;
    int most = 0;

    std::string kindName() const
    {
        if (this->isStream)
            return this->mayRunAgain ? "resumable" : "streaming";
        return this->mayRunAgain ? "idempotent" : "non_idempotent";
    }
};

struct Site
{
    std::string name;
    std::string modelService;
    std::string plainService;
    int modelConnections;
    int plainConnections;
    int kvCapacity;
    std::vector<Kind> kinds;

    std::string config() const
    {
        std::string routes;
        for (const Kind &kind : this->kinds) {
            const std::string service = R"("service":")"
                + (kind.isStream ? this->modelService : this->plainService) + "\"";
            const std::string more = !kind.isStream ? service
                                                    : service + R"(,"sticky":true,"gap_aim_ms":200)"
                    + (kind.mayRunAgain ? R"(,"resumable":true)" : "");
            routes += (routes.empty() ? "" : ",")
                + routeJson(kind.name, kind.isStream ? "streaming" : kind.kindName(), more,
                            kind.deadlineMs, kind.objectiveMs, kind.maxAttempts);
        }
        const std::string services = R"({"name":")" + this->modelService + R"(","max_connections":)"
            + std::to_string(this->modelConnections) + R"(,"engine":{"slots":64,"kv_capacity":)"
            + std::to_string(this->kvCapacity) + R"(}},{"name":")" + this->plainService
            + R"(","max_connections":)" + std::to_string(this->plainConnections) + "}";
        return configJson(3, routes, services);
    }

    const Kind &kindOf(const std::string &target) const
    {
        const std::string kindName = target.substr(1, target.find('/', 1) - 1);
        for (const Kind &kind : this->kinds) {
            if (kind.name == kindName)
                return kind;
        }
        return this->kinds.front();
    }
};

// Stages are left out.
inline const std::vector<Site> &sites()
{
    static const std::vector<Site> all{
        {"hanbit-cls",
         "tanager-llm",
         "classroom-api",
         360,
         100,
         373934,
         {{"lesson-pack", true, true, 1100, 6000, 2, 5, 60},
          {"worksheet", true, false, 1800, 6000, 1, 4, 30},
          {"student-qa", true, true, 1700, 20'000, 2, 30, 150},
          {"roster-push", false, false, 150, 1500, 1},
          {"schedule-fetch", false, true, 150, 1500, 2}}},
        {"mpra-tanagerbay",
         "scribe-models",
         "notices-app",
         280,
         49,
         232000,
         {{"agenda-digest", true, true, 2000, 8000, 2, 5, 60},
          {"minutes-brief", true, false, 1900, 6000, 1, 4, 30},
          {"vote-alert-draft", true, true, 790, 15'000, 2, 30, 150},
          {"notice-send", false, false, 100, 1000, 1},
          {"record-lookup", false, true, 100, 1000, 2}}},
    };
    return all;
}

// How a worker frames its answers; an unframed one ends with its connection.
enum class Framing { Unframed, Chunked, Length };

inline const char *textOf(Framing framing)
{
    if (framing == Framing::Unframed)
        return "unframed";
    return framing == Framing::Chunked ? "chunked" : "length";
}

// The body of a plain answer. Its first words tell the whole length, so that a caller can tell
// whether something is missing.
inline std::string plainBody(const std::string &attempt, const std::string &worker, int size)
{
    std::string body
        = "attempt=" + attempt + " worker=" + worker + " size=" + std::to_string(size) + " ";
    for (int i = 0; static_cast<int>(body.size()) + 4 < size; ++i)
        body += static_cast<char>('a' + i % 26);
    return body + " end";
}

} // namespace Review
