#include "Node/Checkpoint.h"

#include "Common/Hash.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Tanagerbay::Node {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string objectName(const RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
                       const json::value &input)
{
    std::string stages;
    for (const Pipeline::StageDefinition &stage : pipeline.stages)
        stages += std::string(Common::nameOf(stage.kind)) + ":" + stage.pool + ",";
    const std::string request = json::serialize(
        json::array{scope.access.workspace->id.value, scope.requestId.value, stages});
    return "checkpoint-" + Common::digestOf(request) + "-"
        + Common::digestOf(json::serialize(input));
}

Http::Awaitable<void> writeObject(Worker &worker, std::string name, std::string body)
{
    co_await worker.objects.put(std::move(name), std::move(body));
}

} // namespace

Checkpoint::Checkpoint(RequestScope &scope, const Pipeline::PipelineDefinition &pipeline,
                       const json::value &input)
    : scope(scope)
{
    const bool isPatient = scope.serviceLevel.priority == Lists::Priority::Patient;
    const bool hasRequestId = !scope.exchange.request().headers.find("Request-Id").empty();
    if (isPatient && hasRequestId && pipeline.streams())
        this->name = objectName(scope, pipeline, input);
}

Http::Awaitable<bool> Checkpoint::load(json::value &result)
{
    if (this->name.empty())
        co_return false;
    const auto body = co_await this->scope.worker.objects.get(this->name);
    if (!body)
        co_return false;
    boost::system::error_code error;
    json::value stored = json::parse(*body, error);
    if (error)
        co_return false;
    result = std::move(stored);
    this->scope.shared.counters.add(Common::Counter::CheckpointsUsed);
    co_return true;
}

void Checkpoint::save(const json::value &result)
{
    if (this->name.empty())
        return;
    asio::co_spawn(this->scope.worker.context,
                   writeObject(this->scope.worker, this->name, json::serialize(result)),
                   asio::detached);
}

} // namespace Tanagerbay::Node
