#include <criterion/criterion.h>
#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>

#include "src/core/verdict.h"
#include "src/wire/caller_json.h"

namespace marigold {

namespace {

// Returns the text of a file at the root of the repository, or an empty text if
// it is not found. The test may run at the root or up to two folders below it.
std::string ReadPage(const std::string& path) {
  for (const char* prefix : {"", "../", "../../"}) {
    const std::ifstream file(prefix + path);
    if (file) {
      std::ostringstream text;
      text << file.rdbuf();
      return text.str();
    }
  }
  return "";
}

}  // namespace

// Guards against a reason that is missing in docs/api.md, or that has another
// HTTP status or meaning there than in the code.
Test(ApiDoc, HasEveryReasonWithItsStatusAndMeaning) {
  const std::string page = ReadPage("docs/api.md");
  for (std::uint64_t i = 0; i < kReasonCount; ++i) {
    Refusal refusal;
    refusal.reason = static_cast<Reason>(i);
    const std::string row =
        fmt::format("| `{}` | {} | {} |\n", ToString(refusal.reason),
                    HttpStatusOf(refusal), Describe(refusal.reason));
    cr_assert(page.find(row) != std::string::npos,
              "expected in docs/api.md: %s", row.c_str());
  }
}

}  // namespace marigold
