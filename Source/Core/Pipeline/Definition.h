// Definitions of pipelines and services, as read from the settings.
#pragma once

#include "Common/EnumNames.h"

#include <string>
#include <vector>

namespace Tanagerbay::Pipeline {

enum class StageKind { Encoding, Retrieval, Reranking, Generation };

} // namespace Tanagerbay::Pipeline

template <>
struct Tanagerbay::Common::EnumNames<Tanagerbay::Pipeline::StageKind>
{
    using Kind = Pipeline::StageKind;
    static constexpr NameTable<Kind, 4> table = {{
        {Kind::Encoding, "encoding"},
        {Kind::Retrieval, "retrieval"},
        {Kind::Reranking, "reranking"},
        {Kind::Generation, "generation"},
    }};
};

namespace Tanagerbay::Pipeline {

struct StageDefinition
{
    StageKind kind = StageKind::Encoding;
    std::string pool;
    // Set for generation stages only.
    std::string model;
};

struct PipelineDefinition
{
    std::string name;
    // A generation stage, if there is one, is the last stage.
    std::vector<StageDefinition> stages;

    bool streams() const
    {
        return !this->stages.empty() && this->stages.back().kind == StageKind::Generation;
    }
};

struct ServiceDefinition
{
    std::string name;
    std::string pool;
    // Whether a call may be sent again. Calls to a service that is not idempotent need an
    // idempotency key.
    bool idempotent = true;
};

} // namespace Tanagerbay::Pipeline
