/** @file control_core.cc Instantiates the core of a control process. */
#include "coordination/control_core.h"

namespace gv {

template class ControlCoreOf<ReplicaCore>;

}  // namespace gv
