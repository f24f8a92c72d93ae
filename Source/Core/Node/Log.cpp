#include "Node/Log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace Tanagerbay::Node {

void configureLog(bool quiet)
{
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::Format,
                         "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, quiet ? "false" : "true");
    el::Loggers::reconfigureAllLoggers(settings);
}

} // namespace Tanagerbay::Node
