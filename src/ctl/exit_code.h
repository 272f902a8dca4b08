#ifndef SRC_CTL_EXIT_CODE_H_
#define SRC_CTL_EXIT_CODE_H_

namespace marigold::ctl {

// The exit codes of marigoldctl.
enum class ExitCode : int {
  kDone = 0,
  // The command was refused and did not run.
  kRefused = 1,
  // The command line is invalid.
  kUsage = 2,
  // The command may have run. It can be resent with the same change id.
  kMayHaveRun = 3,
  // No control VM replied, so the command did not run. For `PrintStatus`: no
  // control VM is a leader in contact with a quorum.
  kUnreachable = 4,
};

}  // namespace marigold::ctl

#endif  // SRC_CTL_EXIT_CODE_H_
