// Makes addresses answer no connects, like those of VMs without power. The
// arguments are addresses with a port. Runs until a signal ends it.

#include <unistd.h>

#include <cstdio>
#include <list>

#include "src/core/settings_values.h"
#include "tests/silent_listener.h"

int main(int argc, char** argv) {
  std::list<marigold::SilentListener> listeners;
  for (int i = 1; i < argc; ++i) {
    const auto endpoint = marigold::ParseEndpoint(argv[i]);
    if (!endpoint || !listeners.emplace_back(*endpoint).is_bound) {
      std::fprintf(stderr, "expected a free address with a port, actual %s\n",
                   argv[i]);
      return 1;
    }
  }
  ::pause();
  return 0;
}
