#include "UnitTests/Scenario/Script.h"

#include "UnitTests/Scenario/World.h"

#include <sstream>

#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

namespace x3 = boost::spirit::x3;

namespace Tanagerbay::Scenario {

namespace {

struct Duration
{
    double amount = 0;
    std::string unit;
};

const auto kWord = x3::lexeme[+x3::char_("a-zA-Z0-9_.-")];

// Reads the words of one statement in order. Throws ScriptError with the line of the statement.
class StatementReader
{
public:
    StatementReader(const std::string &file, const Statement &statement)
        : file(file), statement(statement)
    {
    }

    const std::string &next(const std::string &expected)
    {
        if (this->position >= this->statement.words.size())
            throw ScriptError(this->file, this->statement.line, expected);
        return this->statement.words[this->position++];
    }
    void expectWord(const std::string &word)
    {
        if (this->next(word) != word)
            throw ScriptError(this->file, this->statement.line, word);
    }
    bool isAtEnd() const
    {
        return this->position >= this->statement.words.size();
    }
    void end()
    {
        if (!this->isAtEnd())
            throw ScriptError(this->file, this->statement.line,
                              "the end of the line, not " + this->statement.words[this->position]);
    }
    int number(const std::string &expected)
    {
        int value = 0;
        const std::string &word = this->next(expected);
        if (!x3::parse(word.begin(), word.end(), x3::int_ >> x3::eoi, value))
            throw ScriptError(this->file, this->statement.line, expected + ", not " + word);
        return value;
    }
    int instance()
    {
        int value = 0;
        const std::string &word = this->next("an instance such as i1");
        if (!x3::parse(word.begin(), word.end(), 'i' >> x3::int_ >> x3::eoi, value) || value < 1
            || value > this->instances)
            throw ScriptError(this->file, this->statement.line,
                              "an instance such as i1, not " + word);
        return value;
    }
    Milliseconds duration()
    {
        return parseDuration(this->file, this->statement.line, this->next("a duration such as 2s"));
    }
    // Reads one of the given words and returns its value.
    template <typename Value>
    Value choice(const std::vector<std::pair<std::string, Value>> &choices)
    {
        std::string all;
        for (const auto &[name, value] : choices)
            all += (all.empty() ? "" : ", ") + name;
        const std::string &word = this->next("one of " + all);
        for (const auto &[name, value] : choices) {
            if (name == word)
                return value;
        }
        throw ScriptError(this->file, this->statement.line, "one of " + all + ", not " + word);
    }

    int instances = 7;

private:
    const std::string &file;
    const Statement &statement;
    std::size_t position = 0;
};

const std::vector<std::pair<std::string, Lists::ListKind>> kListNames{
    {"plans", Lists::ListKind::Plans},
    {"entitlements", Lists::ListKind::Entitlements},
};
const std::vector<std::pair<std::string, StoreFault>> kStoreFaultNames{
    {"down", StoreFault::Down},
    {"black-hole", StoreFault::BlackHole},
    {"lose-replies", StoreFault::LoseReplies},
    {"land-late", StoreFault::ApplyLate},
};
const std::vector<std::pair<std::string, ServiceFault>> kServiceFaultNames{
    {"down", ServiceFault::Down},
    {"drop-before", ServiceFault::DropBefore},
    {"drop-after", ServiceFault::DropAfter},
    {"slow", ServiceFault::Slow},
};
const std::vector<std::pair<std::string, CallAnswer::Kind>> kAnswerNames{
    {"none", CallAnswer::Kind::None},
    {"yes", CallAnswer::Kind::Yes},
    {"no", CallAnswer::Kind::No},
    {"maybe", CallAnswer::Kind::Maybe},
};
const std::vector<std::pair<std::string, EditOutcome>> kEditOutcomeNames{
    {"pending", EditOutcome::Pending},     {"in-force", EditOutcome::InForce},
    {"committed", EditOutcome::Committed}, {"conflict", EditOutcome::Conflict},
    {"rejected", EditOutcome::Rejected},   {"unknown", EditOutcome::Unknown},
};

class Runner
{
public:
    Runner(const std::string &file, const std::vector<Statement> &statements)
        : file(file), statements(statements)
    {
        for (const Statement &statement : statements) {
            StatementReader reader(file, statement);
            const std::string &verb = reader.next("a verb");
            if (verb == "seed")
                this->seed = static_cast<std::uint64_t>(reader.number("a number"));
            else if (verb == "instances")
                this->instances = reader.number("a number");
            else if (verb == "run")
                this->runDuration = reader.duration();
        }
    }

    std::vector<std::string> run()
    {
        this->world = std::make_unique<World>(this->seed, this->instances);
        for (const Statement &statement : this->statements) {
            // The parser has accepted all lines; a statement's words are checked when it is
            // performed.
            this->world->at(statement.at, [this, &statement] { this->perform(statement); });
        }
        this->world->runUntil(this->runDuration);
        for (const std::string &line : this->world->violations())
            this->failures.push_back(this->file + ": violated invariant: " + line);
        if (!this->failures.empty())
            this->failures.push_back("trace:\n" + this->world->trace());
        return this->failures;
    }

private:
    void perform(const Statement &statement)
    {
        StatementReader reader(this->file, statement);
        reader.instances = this->instances;
        const std::string &verb = reader.next("a verb");
        if (verb == "seed" || verb == "instances" || verb == "run")
            return;
        if (verb == "call")
            this->performCall(reader);
        else if (verb == "edit")
            this->performEdit(reader);
        else if (verb == "spend")
            this->performSpend(reader);
        else if (verb == "kill")
            this->world->kill(reader.instance());
        else if (verb == "restart")
            this->world->restart(reader.instance());
        else if (verb == "heal")
            this->world->heal();
        else if (verb == "pause")
            this->performPause(reader);
        else if (verb == "cut")
            this->performCut(reader);
        else if (verb == "fault")
            this->performFault(reader);
        else if (verb == "at-rest")
            this->world->checkFinalState();
        else if (verb == "expect")
            this->performExpect(reader, statement);
        else
            throw ScriptError(this->file, statement.line, "a verb, not " + verb);
        reader.end();
    }

    void performCall(StatementReader &reader)
    {
        const std::string key = reader.next("a key");
        std::string body = "body";
        std::string word = reader.next("at or body");
        if (word == "body") {
            body = reader.next("a body");
            reader.expectWord("at");
        }
        this->world->call(key, body, reader.instance());
    }
    void performEdit(StatementReader &reader)
    {
        const std::string name = reader.next("a name for the edit");
        const Lists::ListKind kind = reader.choice(kListNames);
        reader.expectWord("at");
        this->world->edit(name, kind, reader.instance());
    }
    void performSpend(StatementReader &reader)
    {
        const int count = reader.number("a count");
        reader.expectWord("at");
        this->world->spend(count, reader.instance());
    }
    void performPause(StatementReader &reader)
    {
        const int instance = reader.instance();
        reader.expectWord("for");
        this->world->pause(instance, reader.duration());
    }
    void performCut(StatementReader &reader)
    {
        const int instance = reader.instance();
        const std::vector<std::pair<std::string, int>> parts{
            {"store", 1}, {"peers", 2}, {"all", 3}};
        const int part = reader.choice(parts);
        reader.expectWord("for");
        const Milliseconds period = reader.duration();
        if (part & 1)
            this->world->cutStore(instance, period);
        if (part & 2)
            this->world->cutPeers(instance, period);
    }
    void performFault(StatementReader &reader)
    {
        const std::vector<std::pair<std::string, bool>> targets{{"store", true},
                                                                {"service", false}};
        if (reader.choice(targets)) {
            const StoreFault fault = reader.choice(kStoreFaultNames);
            reader.expectWord("for");
            this->world->storeFault(fault, reader.duration());
            return;
        }
        const ServiceFault fault = reader.choice(kServiceFaultNames);
        reader.expectWord("for");
        this->world->serviceFault(fault, reader.duration());
    }

    void check(const Statement &statement, bool holds, const std::string &found)
    {
        if (holds)
            return;
        std::string text;
        for (const std::string &word : statement.words)
            text += (text.empty() ? "" : " ") + word;
        this->failures.push_back(this->file + ":" + std::to_string(statement.line) + ": " + text
                                 + ", but found " + found);
    }

    template <typename Value>
    static std::string nameOfChoice(const std::vector<std::pair<std::string, Value>> &choices,
                                    Value value)
    {
        for (const auto &[name, entry] : choices) {
            if (entry == value)
                return name;
        }
        return "?";
    }

    void performExpect(StatementReader &reader, const Statement &statement)
    {
        const std::string &what = reader.next("what to expect");
        if (what == "runs") {
            const int runs = this->world->runs(reader.next("a key"));
            std::string word = reader.next("a count or at-most");
            const bool isUpperBound = word == "at-most";
            const int wanted = isUpperBound ? reader.number("a count") : std::atoi(word.c_str());
            this->check(statement, isUpperBound ? runs <= wanted : runs == wanted,
                        std::to_string(runs));
        } else if (what == "answer") {
            const auto answers = this->world->answers(reader.next("a key"));
            const auto last = answers.empty() ? CallAnswer::Kind::None : answers.back().kind;
            this->check(statement, last == reader.choice(kAnswerNames),
                        nameOfChoice(kAnswerNames, last));
        } else if (what == "edit") {
            const EditOutcome answer = this->world->editOutcome(reader.next("an edit"));
            this->check(statement, answer == reader.choice(kEditOutcomeNames),
                        nameOfChoice(kEditOutcomeNames, answer));
        } else if (what == "version") {
            const Lists::ListKind kind = reader.choice(kListNames);
            const int wanted = reader.number("a version");
            reader.expectWord("on");
            const auto version = this->world->version(reader.instance(), kind);
            this->check(statement, static_cast<int>(version) == wanted, std::to_string(version));
        } else if (what == "serves" || what == "refuses") {
            const bool serves = this->world->serves(reader.instance());
            this->check(statement, serves == (what == "serves"), serves ? "serves" : "refuses");
        } else if (what == "spent") {
            std::string word = reader.next("a count or at-least");
            const bool isLowerBound = word == "at-least";
            const int wanted = isLowerBound ? reader.number("a count") : std::atoi(word.c_str());
            const int spent = this->world->spent();
            this->check(statement, isLowerBound ? spent >= wanted : spent == wanted,
                        std::to_string(spent));
        } else if (what == "holders") {
            const int wanted = reader.number("a count");
            const std::size_t found = this->world->leaseHolders().size();
            this->check(statement, static_cast<int>(found) == wanted, std::to_string(found));
        } else {
            throw ScriptError(this->file, statement.line,
                              "runs, answer, edit, version, serves, refuses, spent or holders, not "
                                  + what);
        }
    }

    const std::string &file;
    const std::vector<Statement> &statements;
    std::uint64_t seed = 1;
    int instances = 7;
    Milliseconds runDuration{60'000};
    std::unique_ptr<World> world;
    std::vector<std::string> failures;
};

} // namespace

Milliseconds parseDuration(const std::string &file, int line, const std::string &text)
{
    double amount = 0;
    double scale = 1;
    x3::symbols<double> units;
    units.add("ms", 1)("s", 1000);
    const auto setAmount = [&amount](auto &context) { amount = x3::_attr(context); };
    const auto setScale = [&scale](auto &context) { scale = x3::_attr(context); };
    if (!x3::parse(text.begin(), text.end(), x3::double_[setAmount] >> units[setScale] >> x3::eoi))
        throw ScriptError(file, line, "a duration such as 1500ms or 2.5s, not " + text);
    return Milliseconds(static_cast<std::int64_t>(amount * scale));
}

std::vector<Statement> parseScript(const std::string &file, const std::string &text)
{
    std::vector<Statement> statements;
    std::istringstream stream(text);
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number) {
        line = line.substr(0, line.find('#'));
        std::vector<std::string> words;
        auto begin = line.begin();
        const bool parsed
            = x3::phrase_parse(begin, line.end(), *kWord >> x3::eoi, x3::space, words);
        if (!parsed)
            throw ScriptError(file, number,
                              "words of letters, digits, dots, dashes and underscores");
        if (words.empty())
            continue;
        Statement statement;
        statement.line = number;
        if (words.front() == "at") {
            if (words.size() < 3)
                throw ScriptError(file, number, "a time and a verb after at");
            statement.at = parseDuration(file, number, words[1]);
            words.erase(words.begin(), words.begin() + 2);
        }
        statement.words = std::move(words);
        statements.push_back(std::move(statement));
    }
    return statements;
}

std::vector<std::string> runScript(const std::string &file, const std::string &text)
{
    const std::vector<Statement> statements = parseScript(file, text);
    Runner runner(file, statements);
    return runner.run();
}

} // namespace Tanagerbay::Scenario
