// Configuration of the log. An instance logs only changes of state.
#pragma once

namespace Tanagerbay::Node {

// Sets the log format. Lines go to standard output, or nowhere if `quiet`. Must be called once,
// before the first line is logged.
void configureLog(bool quiet);

} // namespace Tanagerbay::Node
