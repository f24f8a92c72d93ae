// The worker processes of a run: their rows in the store, their ends and new starts.
#pragma once

#include "WorkerProcess.h"

namespace Review {

class Fleet
{
public:
    Fleet(Deployment &deployment, const Site &site, std::uint64_t seed)
        : deployment(deployment), site(site), seed(seed), runsPath(deployment.folder + "/runs.txt")
    {
        Random random(seed);
        this->members.resize(kModelWorkers + kPlainWorkers);
        for (int i = 0; i < static_cast<int>(this->members.size()); ++i) {
            Member &member = this->members[i];
            const bool isModel = i < kModelWorkers;
            const int place = isModel ? i : i - kModelWorkers;
            member.service = isModel ? site.modelService : site.plainService;
            member.name = (isModel ? "model-" : "plain-") + std::to_string(place + 1);
            member.id = "i-" + member.name;
            member.slots = isModel ? 64 : 6;
            // Half of the workers end their answers with their connection.
            const int half = (isModel ? kModelWorkers : kPlainWorkers) / 2;
            if ((place < half && Troubles::hasUnframed()) || (isModel && Troubles::areAllUnframed()))
                member.framing = Framing::Unframed;
            else if (isModel || place == half)
                member.framing = Framing::Chunked;
            else
                member.framing = Framing::Length;
            member.isFaulty = !isModel && place == half;
            member.version = happens(random, 0.5) ? "1.0" : "2.0";
            member.address = {deployment.workerIp(), freePort({deployment.workerIp()})};
        }
    }

    ~Fleet()
    {
        const std::lock_guard lock(this->mutex);
        for (Member &member : this->members)
            this->end(member);
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    bool start()
    {
        const std::lock_guard lock(this->mutex);
        for (Member &member : this->members) {
            if (!this->begin(member))
                return false;
            this->list(member);
        }
        return true;
    }

    // Writes the rows of living workers and removes those that are silent for three intervals.
    void keepRows()
    {
        while (!this->isEnding) {
            {
                const std::lock_guard lock(this->mutex);
                for (Member &member : this->members) {
                    if (member.pid > 0 && member.nextRowAt <= Clock::now())
                        this->list(member);
                }
                for (auto row = this->silent.begin(); row != this->silent.end();) {
                    if (row->second > Clock::now()) {
                        ++row;
                        continue;
                    }
                    this->deployment.store.remove("servers", row->first);
                    this->deployment.record.write("the store removes the row of " + row->first);
                    row = this->silent.erase(row);
                }
            }
            sleepFor(50);
        }
    }

    // Kills the workers of a service in no order, one at a time, and starts them again.
    void killInTurn(bool isModel, Clock::time_point until)
    {
        Random random(this->seed * 2 + (isModel ? 1 : 0));
        while (true) {
            sleepFor(between(random, 300, 1000));
            if (Clock::now() >= until)
                return;
            const int place = isModel ? between(random, 0, kModelWorkers - 1)
                                      : kModelWorkers + between(random, 0, kPlainWorkers - 1);
            Member &member = this->members[place];
            {
                const std::lock_guard lock(this->mutex);
                this->kill(member);
            }
            sleepFor(between(random, 50, 1500));
            const std::lock_guard lock(this->mutex);
            this->startAgain(member, random);
        }
    }

    // A worker says nothing for a second, all its connections stay open.
    void silenceInTurn(Clock::time_point until)
    {
        Random random(this->seed * 3 + 7);
        while (true) {
            sleepFor(between(random, 1500, 3000));
            if (Clock::now() >= until)
                return;
            Member &member = this->members[random() % this->members.size()];
            ::pid_t pid = -1;
            {
                const std::lock_guard lock(this->mutex);
                pid = member.pid;
                if (pid > 0)
                    ::kill(pid, SIGSTOP);
            }
            if (pid > 0)
                this->deployment.record.write(member.name + " falls silent");
            sleepFor(1000);
            const std::lock_guard lock(this->mutex);
            if (pid > 0 && member.pid == pid)
                ::kill(pid, SIGCONT);
        }
    }

    void stopRows()
    {
        this->isEnding = true;
    }

    // Whether the process ran on until this moment. `process` is its id and start time.
    bool isSoundUntil(const std::string &process, Clock::time_point moment)
    {
        const std::lock_guard lock(this->mutex);
        const auto killed = this->killedAt.find(process);
        return killed == this->killedAt.end() || killed->second > moment;
    }

    std::size_t killCount()
    {
        const std::lock_guard lock(this->mutex);
        return this->killedAt.size();
    }

    const std::string &runs() const
    {
        return this->runsPath;
    }

private:
    struct Member
    {
        std::string name;
        std::string service;
        std::string id;
        std::string version;
        Framing framing = Framing::Chunked;
        bool isFaulty = false;
        int slots = 0;
        Address address;
        std::uint64_t born = 0;
        std::uint64_t sequence = 0;
        ::pid_t pid = -1;
        Clock::time_point nextRowAt;
    };

    static std::uint64_t unixMs()
    {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<Milliseconds>(now).count());
    }

    bool begin(Member &member)
    {
        member.born = unixMs();
        member.sequence = 0;
        // The child of a process with threads may only call what is safe in a signal handler.
        std::vector<std::string> texts{"rig",
                                       "--worker",
                                       this->site.name,
                                       member.address.ip,
                                       std::to_string(member.address.port),
                                       member.id,
                                       member.version,
                                       std::to_string(member.born),
                                       std::to_string(static_cast<int>(member.framing)),
                                       member.isFaulty ? "1" : "0",
                                       std::to_string(this->seed),
                                       this->runsPath};
        std::vector<char *> arguments;
        for (std::string &text : texts)
            arguments.push_back(text.data());
        arguments.push_back(nullptr);
        member.pid = ::fork();
        if (member.pid == 0) {
            ::execv("/proc/self/exe", arguments.data());
            ::_exit(127);
        }
        for (int waitedMs = 0; waitedMs < 3000; waitedMs += 5) {
            const int fd = connectTo(member.address, 200);
            if (fd >= 0) {
                ::close(fd);
                return true;
            }
            sleepFor(5);
        }
        this->deployment.record.write(member.name + " did not start");
        return false;
    }

    // Ends the process; the kernel closes its connections.
    void end(Member &member)
    {
        if (member.pid <= 0)
            return;
        ::kill(member.pid, SIGKILL);
        ::waitpid(member.pid, nullptr, 0);
        member.pid = -1;
    }

    void kill(Member &member)
    {
        if (member.pid <= 0)
            return;
        this->killedAt[member.id + "/" + std::to_string(member.born)] = Clock::now();
        this->end(member);
        this->silent[member.id] = Clock::now() + Milliseconds(3 * kHeartbeatMs);
        this->deployment.record.write(member.name + " (" + member.id + ", " + member.version + ", "
                                      + textOf(member.framing) + ") is killed");
    }

    void startAgain(Member &member, Random &random)
    {
        if (happens(random, 0.5))
            member.version = member.version == "1.0" ? "2.0" : "1.0";
        if (happens(random, 0.25)) {
            member.id = "i-" + member.name + "-" + std::to_string(++this->newIds);
            // The address is another one, or that of the process before.
            if (happens(random, 0.5))
                member.address.port = freePort({member.address.ip});
        }
        // Some are cut off from the store as they start, so that it shows the process before.
        const int rowDelayMs
            = happens(random, 0.15) ? between(random, 2000, 5000) : between(random, 0, 600);
        if (!this->begin(member))
            return;
        member.nextRowAt = Clock::now() + Milliseconds(rowDelayMs);
        this->deployment.record.write(member.name + " starts again as " + member.id + ", "
                                      + member.version + ", born " + std::to_string(member.born)
                                      + ", listed after " + std::to_string(rowDelayMs) + " ms");
    }

    void list(Member &member)
    {
        member.nextRowAt = Clock::now() + Milliseconds(kHeartbeatMs);
        this->silent.erase(member.id);
        this->deployment.store.put(
            "servers", member.id,
            R"({"service":")" + member.service + R"(","address":")" + member.address.text()
                + R"(","zone":"zone-a","version":")" + member.version + R"(","slots":)"
                + std::to_string(member.slots) + R"(,"state":"ready","cold_left_ms":0,"sequence":)"
                + std::to_string(++member.sequence) + R"(,"born":)" + std::to_string(member.born)
                + "}");
    }

    Deployment &deployment;
    const Site &site;
    const std::uint64_t seed;
    const std::string runsPath;
    std::mutex mutex;
    std::vector<Member> members;
    std::map<std::string, Clock::time_point> silent;
    std::map<std::string, Clock::time_point> killedAt;
    int newIds = 0;
    std::atomic<bool> isEnding{false};
};

} // namespace Review
