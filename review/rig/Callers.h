// The callers of a run: what they send, and what they read.
#pragma once

#include "Faults.h"

namespace Review {

enum class Result { Whole, Cut, Refused, NoAnswer, TimedOut, Left };

// Events in a row that one run has made, in the order in which a caller has read them.
struct Piece
{
    // The worker's id, its start time and the number of the run.
    std::string run;
    int first = 0;
    int last = 0;
};

// One request and what its caller has read of the answer.
struct Outcome
{
    const Kind *kind = nullptr;
    std::string attempt;
    std::string stream;
    Result result = Result::NoAnswer;
    int status = 0;
    // The connection had brought an answer before.
    bool isKept = false;
    bool isHalfClosed = false;
    std::string manner;
    // Findings: the answer breaks a rule.
    std::string lacks;
    std::string disorder;
    std::string mixed;
    bool isCutShort = false;
    std::set<std::string> versions;
    std::vector<Piece> pieces;
    // The process that took the request, by its place.
    std::size_t entry = 0;
    Clock::time_point begunAt;
    Clock::time_point endedAt;
};

struct Connection
{
    int fd = -1;
    Reader reader{-1};
    int answers = 0;
    std::size_t entry = 0;

    bool open(const Deployment &deployment, std::size_t place)
    {
        this->close();
        this->entry = place;
        this->fd = connectTo(deployment.entries[place]->front());
        this->reader = Reader(this->fd);
        this->answers = 0;
        return this->fd >= 0;
    }

    void close()
    {
        if (this->fd >= 0)
            ::close(this->fd);
        this->fd = -1;
    }

    // Whether the next request may use the connection.
    bool isOpenAfter(const Response &response) const
    {
        const bool isFramed = !response.header("Content-Length").empty()
            || !response.header("Transfer-Encoding").empty();
        return response.isComplete && isFramed
            && ::strcasecmp(response.header("Connection").c_str(), "close") != 0;
    }
};

class Callers
{
public:
    Callers(Deployment &deployment, const Site &site, std::uint64_t seed, Clock::time_point until)
        : deployment(deployment), site(site), seed(seed), until(until)
    {
    }

    void run(int streamCallers, int plainCallers)
    {
        std::vector<std::thread> threads;
        for (int i = 0; i < streamCallers + plainCallers; ++i) {
            threads.emplace_back([this, i, streamCallers] {
                Random random(this->seed * 1000 + i);
                while (Clock::now() < this->until) {
                    if (i < streamCallers)
                        this->callStreams(random);
                    else
                        this->callPlain(random);
                }
            });
        }
        for (std::thread &thread : threads)
            thread.join();
    }

    std::vector<Outcome> outcomes;
    std::atomic<int> failedConnects{0};

private:
    const Kind &choose(Random &random, bool isStream)
    {
        while (true) {
            const Kind &kind = this->site.kinds[random() % this->site.kinds.size()];
            if (kind.isStream == isStream)
                return kind;
        }
    }

    bool open(Connection &connection, Random &random)
    {
        return connection.open(this->deployment, random() % this->deployment.entries.size());
    }

    void note(Outcome outcome)
    {
        outcome.endedAt = Clock::now();
        const std::lock_guard lock(this->mutex);
        this->outcomes.push_back(std::move(outcome));
    }

    static Result resultOf(const Response &response)
    {
        if (response.status == 0)
            return response.hasTimedOut ? Result::TimedOut : Result::NoAnswer;
        if (response.status >= 300)
            return Result::Refused;
        if (response.isComplete)
            return Result::Whole;
        return response.hasTimedOut ? Result::TimedOut : Result::Cut;
    }

    // Requests on one connection, up to its end.
    void callPlain(Random &random)
    {
        Connection connection;
        if (!this->open(connection, random)) {
            ++this->failedConnects;
            sleepFor(50);
            return;
        }
        bool isOpen = true;
        while (isOpen && Clock::now() < this->until) {
            isOpen = this->sendPlain(connection, random);
            sleepFor(between(random, 0, 40));
            // Other callers open new connections.
            isOpen = isOpen && !happens(random, 0.1);
        }
        connection.close();
    }

    bool sendPlain(Connection &connection, Random &random)
    {
        const Kind *kind = &this->choose(random, false);
        const bool isSlow = happens(random, 0.05);
        const bool isPipelined = kind->mayRunAgain && happens(random, 0.08);
        const bool hasLineBreak = !kind->mayRunAgain && happens(random, 0.08);
        const bool isHalfClosed = !isPipelined && happens(random, 0.02);
        std::vector<std::string> attempts;
        std::vector<int> sizes;
        std::string bytes;
        for (int i = 0; i < (isPipelined ? 2 : 1); ++i) {
            attempts.push_back(this->deployment.nextAttempt());
            sizes.push_back(isSlow ? between(random, 60'000, 120'000) : between(random, 300, 4800));
            bytes += requestText(kind->mayRunAgain ? "GET" : "POST",
                                 "/" + kind->name + "/" + std::to_string(sizes.back()),
                                 attempts.back(), kind->deadlineMs, "",
                                 kind->mayRunAgain ? "" : std::string(600, 'q'));
        }
        if (hasLineBreak)
            bytes += "\r\n";
        connection.reader.mayBeProbed = isHalfClosed;
        connection.reader.pauseMs = isSlow ? 15 : 0;
        connection.reader.readSize = isSlow ? 4096 : 16384;
        sendAll(connection.fd, bytes);
        if (isHalfClosed)
            ::shutdown(connection.fd, SHUT_WR);
        bool isOpen = true;
        bool hasTimedOut = false;
        for (std::size_t i = 0; i < attempts.size(); ++i) {
            Outcome outcome;
            outcome.kind = kind;
            outcome.attempt = attempts[i];
            outcome.isKept = connection.answers > 0;
            outcome.entry = connection.entry;
            outcome.begunAt = Clock::now();
            outcome.isHalfClosed = isHalfClosed;
            outcome.manner = std::string(isSlow ? "slow," : "") + (isPipelined ? "pipelined," : "")
                + (hasLineBreak ? "line break," : "") + (isHalfClosed ? "half-closed," : "")
                + (outcome.isKept ? "kept" : "new");
            // A response that announced the close ends what was sent behind it.
            if (!isOpen) {
                outcome.result = hasTimedOut ? Result::TimedOut : Result::NoAnswer;
                this->note(outcome);
                continue;
            }
            Response response = readResponse(connection.reader,
                                             Clock::now() + Milliseconds(kind->deadlineMs + 1500));
            Faults::putInto(response, random, kind->mayRunAgain);
            outcome.status = response.status;
            outcome.result = resultOf(response);
            hasTimedOut = response.hasTimedOut;
            if (outcome.result == Result::Whole)
                outcome.mixed = whatIsMixed(response, attempts[i], sizes[i]);
            outcome.isCutShort = outcome.mixed.ends_with(", cut short");
            this->note(outcome);
            ++connection.answers;
            isOpen = connection.isOpenAfter(response);
        }
        return isOpen && !isHalfClosed;
    }

    // Says what is wrong with a complete 2xx answer; empty if it is the worker's whole body.
    static std::string whatIsMixed(const Response &response, const std::string &attempt, int size)
    {
        const std::string seal = response.header("Response-Seal");
        const std::string start = "seal-";
        const std::string end = "-" + attempt;
        if (seal.size() <= start.size() + end.size()
            || seal.compare(seal.size() - end.size(), end.size(), end) != 0)
            return "the seal is \"" + seal + "\"";
        const std::string worker
            = seal.substr(start.size(), seal.size() - start.size() - end.size());
        const std::string whole = plainBody(attempt, worker, size);
        if (response.body == whole)
            return "";
        return std::to_string(response.body.size()) + " of " + std::to_string(whole.size())
            + " bytes of " + worker
            + (whole.rfind(response.body, 0) == 0 ? ", cut short" : ", other bytes");
    }

    // A stream and the requests that take it up again.
    void callStreams(Random &random)
    {
        const Kind &kind = this->choose(random, true);
        const int count = between(random, kind.fewest, kind.most);
        const std::string part = "5c1e" + std::to_string(1000 + random() % 200);
        const std::string stream = this->deployment.nextAttempt();
        const bool isSlow = happens(random, 0.1);
        const bool leaves = happens(random, 0.05);
        // Without a draw, so that the seeds play what they have played before.
        const bool isHalfClosed = count % 16 == 0;
        // Half of the streams end before they have as many tokens as their request allows.
        const int mostTokens = count % 2 == 0 ? count : count + 20;
        const auto deadline = Clock::now() + Milliseconds(kind.deadlineMs);
        int last = 0;
        std::string firstAttempt;
        Connection connection;
        for (int take = 0; take < 4 && Clock::now() < deadline; ++take) {
            if (connection.fd < 0 && !this->open(connection, random)) {
                ++this->failedConnects;
                sleepFor(50);
                continue;
            }
            // Half of the streams go out on a kept connection.
            if (take == 0 && happens(random, 0.5) && !this->warmUp(connection, random))
                return connection.close();
            Outcome outcome;
            outcome.kind = &kind;
            outcome.stream = stream;
            outcome.attempt = take == 0 ? stream : this->deployment.nextAttempt();
            outcome.isKept = connection.answers > 0;
            outcome.entry = connection.entry;
            outcome.begunAt = Clock::now();
            outcome.isHalfClosed = isHalfClosed;
            outcome.manner = std::string(isSlow ? "slow," : "") + (leaves ? "leaves," : "")
                + (isHalfClosed ? "half-closed stream," : "")
                + (take > 0             ? "taken up"
                       : outcome.isKept ? "kept"
                                        : "new");
            const std::string more = firstAttempt.empty() ? ""
                                                          : "Resumes: " + firstAttempt
                    + "\r\nLast-Event-Id: " + std::to_string(last) + "\r\n";
            const int leftMs = static_cast<int>(
                std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count());
            sendAll(connection.fd,
                    requestText("POST", "/" + kind.name + "/" + std::to_string(count),
                                outcome.attempt, leftMs,
                                "Model: m\r\nToken-Count: 500," + std::to_string(mostTokens)
                                    + "\r\nPrompt-Prefix: " + part + ":300," + outcome.attempt
                                    + ":200\r\n" + more,
                                std::string(1400, 'p')));
            if (isHalfClosed)
                ::shutdown(connection.fd, SHUT_WR);
            connection.reader.mayBeProbed = isHalfClosed;
            connection.reader.pauseMs = isSlow ? 30 : 0;
            connection.reader.readSize = isSlow ? 128 : 16384;
            const int readMs = leaves ? between(random, 50, 600) : leftMs + 1500;
            Response response
                = readResponse(connection.reader, Clock::now() + Milliseconds(readMs));
            Faults::putIntoStream(response, random);
            outcome.status = response.status;
            outcome.result = leaves && response.hasTimedOut ? Result::Left : resultOf(response);
            const bool hadEvents = last > 0;
            if (response.status == 200)
                this->checkEvents(response, count, last, outcome);
            if (!hadEvents && last > 0)
                firstAttempt = outcome.attempt;
            this->note(outcome);
            connection.close();
            // A stream that may not be resumed is not sent again.
            if (leaves || outcome.result == Result::Whole || !kind.mayRunAgain)
                break;
            sleepFor(between(random, 10, 200));
        }
        connection.close();
        sleepFor(between(random, 0, 100));
    }

    bool warmUp(Connection &connection, Random &random)
    {
        while (connection.answers == 0) {
            if (!this->sendPlain(connection, random))
                return false;
        }
        return true;
    }

    // Reads the whole events of an answer; `last` is the last event of the stream so far.
    static void checkEvents(const Response &response, int count, int &last, Outcome &outcome)
    {
        std::size_t at = 0;
        for (std::size_t stop = 0; (stop = response.body.find("\n\n", at)) != std::string::npos;
             at = stop + 2) {
            const std::string event = response.body.substr(at, stop - at);
            const std::string data = "\ndata: made-by ";
            const std::size_t made = event.find(data);
            const int number = event.rfind("id: ", 0) == 0 ? std::atoi(event.c_str() + 4) : 0;
            if (made == std::string::npos || number != last + 1) {
                outcome.disorder += "event \"" + event.substr(0, event.find('\n')) + "\" after "
                    + std::to_string(last) + "; ";
            }
            if (made != std::string::npos) {
                const std::size_t version = made + data.size();
                const std::size_t end = event.find(' ', version);
                outcome.versions.insert(event.substr(version, end - version));
                const std::string run = end == std::string::npos ? "" : event.substr(end + 1);
                if (outcome.pieces.empty() || outcome.pieces.back().run != run)
                    outcome.pieces.push_back({run, number, number});
                outcome.pieces.back().last = number;
            }
            last = number > 0 ? number : last;
        }
        if (outcome.result == Result::Whole && (last != count || at < response.body.size())) {
            outcome.lacks = "looks complete with " + std::to_string(last) + " of "
                + std::to_string(count) + " events, " + std::to_string(response.body.size() - at)
                + " bytes behind the last one";
        }
    }

    Deployment &deployment;
    const Site &site;
    const std::uint64_t seed;
    const Clock::time_point until;
    std::mutex mutex;
};

} // namespace Review
