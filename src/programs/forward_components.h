#ifndef SRC_PROGRAMS_FORWARD_COMPONENTS_H_
#define SRC_PROGRAMS_FORWARD_COMPONENTS_H_

#include <cstddef>

#include "src/net/control/control_client.h"
#include "src/net/forward/forwarder.h"
#include "src/policy/backend_directory.h"
#include "src/policy/fan_out/fan_out_types.h"
#include "src/programs/forward_settings.h"

namespace marigold {

// The settings of the components of a forwarding entry process, derived from
// those of the process.

DirectorySettings ToDirectorySettings(const ForwardSettings& settings);
FanOutSettings ToFanOutSettings(const ForwardSettings& settings);
ControlClientSettings ToControlSettings(const ForwardSettings& settings);
AdmissionSettings ToForwardAdmissionSettings(const ForwardSettings& settings);
StrandLimits ToStrandLimits(const ForwardSettings& settings);

// The number of connections that callers may have open.
std::size_t MaxCallerConnections(const ForwardSettings& settings);

}  // namespace marigold

#endif  // SRC_PROGRAMS_FORWARD_COMPONENTS_H_
