#include "src/wire/json_line_numbers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace marigold {

namespace {

// An object or array that begins before the current byte and has not ended.
struct Container {
  std::string path;
  bool is_array = false;
  std::size_t item_count = 0;
};

class LineScanner {
 public:
  explicit LineScanner(std::string_view json) : text(json) {}

  std::map<std::string, std::size_t> Scan() {
    while (this->position < this->text.size()) {
      this->ScanToken();
    }
    return std::move(this->lines);
  }

 private:
  void ScanToken() {
    const char c = this->text[this->position];
    switch (c) {
      case '\n':
        ++this->line;
        break;
      case '"':
        this->ScanString();
        return;
      case '{':
      case '[':
        this->OpenContainer(c == '[');
        break;
      case '}':
      case ']':
        if (!this->open_containers.empty()) {
          this->open_containers.pop_back();
        }
        break;
      case ',':
      case ':':
      case ' ':
      case '\t':
      case '\r':
        break;
      default:
        this->ScanScalar();
        return;
    }
    ++this->position;
  }

  // Returns the path of the value that begins at the current byte. Inside an
  // array, also counts the value.
  std::string PathOfValue() {
    if (this->open_containers.empty()) {
      return "";
    }
    Container& container = this->open_containers.back();
    if (container.is_array) {
      return fmt::format("{}[{}]", container.path, container.item_count++);
    }
    return container.path.empty() ? this->key
                                  : container.path + "." + this->key;
  }

  void OpenContainer(bool is_array) {
    std::string path = this->PathOfValue();
    this->lines.emplace(path, this->line);
    this->open_containers.push_back({std::move(path), is_array, 0});
  }

  void ScanString() {
    const std::size_t start = ++this->position;
    while (this->position < this->text.size() &&
           this->text[this->position] != '"') {
      this->position += this->text[this->position] == '\\' ? 2 : 1;
    }
    const std::size_t end = std::min(this->position, this->text.size());
    this->position = end + 1;
    if (this->IsKeyNext()) {
      this->key = std::string(this->text.substr(start, end - start));
    } else {
      this->lines.emplace(this->PathOfValue(), this->line);
    }
  }

  // True if the string that ends before `position` is followed by a colon.
  bool IsKeyNext() const {
    const std::size_t next =
        this->text.find_first_not_of(" \t\r\n", this->position);
    return next != std::string_view::npos && this->text[next] == ':';
  }

  void ScanScalar() {
    this->lines.emplace(this->PathOfValue(), this->line);
    while (this->position < this->text.size() &&
           std::string_view(",]} \t\r\n").find(this->text[this->position]) ==
               std::string_view::npos) {
      ++this->position;
    }
  }

  std::string_view text;
  std::size_t position = 0;
  std::size_t line = 1;
  std::string key;
  std::vector<Container> open_containers;
  std::map<std::string, std::size_t> lines;
};

}  // namespace

std::map<std::string, std::size_t> JsonLineNumbers(std::string_view text) {
  return LineScanner(text).Scan();
}

std::size_t LineAtOffset(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, std::min(offset, text.size()));
  return 1 + static_cast<std::size_t>(
                 std::count(before.begin(), before.end(), '\n'));
}

}  // namespace marigold
