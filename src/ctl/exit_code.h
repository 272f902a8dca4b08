#ifndef SRC_CTL_EXIT_CODE_H_
#define SRC_CTL_EXIT_CODE_H_

namespace marigold::ctl {

// What marigoldctl's caller can rely on.
enum class ExitCode : int {
  kDone = 0,
  // The command surely did not run.
  kRefused = 1,
  kUsage = 2,
  // The command may have run; the same change id may be sent again.
  kMayHaveRun = 3,
  // No control VM answered.
  kUnreachable = 4,
};

}  // namespace marigold::ctl

#endif  // SRC_CTL_EXIT_CODE_H_
