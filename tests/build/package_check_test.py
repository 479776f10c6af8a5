"""Guards against a build that uses packages which deploy/system.toml does not list."""
import pathlib
import tempfile
import unittest

import package_check

COMPILE = "mkdir -p target && c++ -c a.cpp -o target/a.o"


class PackageCheck(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.database = package_check.PackageDatabase()

    def faults(self, packages, line, source="int main() {}\n"):
        with tempfile.TemporaryDirectory() as folder:
            tree = pathlib.Path(folder)
            (tree / "a.cpp").write_text(source)
            usage = package_check.run_traced(line, tree)
            return package_check.find_faults(packages, tree, usage, self.database)

    def test_listed_packages_serve_the_build(self):
        self.assertEqual(self.faults(["g++", "libzstd-dev"], COMPILE, "#include <string>\n#include <zstd.h>\n"), [])

    def test_header_of_an_unlisted_package(self):
        faults = self.faults(["g++"], COMPILE, "#include <zstd.h>\n")
        self.assertIn("<zstd.h> is included, but its package libzstd-dev is not listed", faults)
        self.assertIn("/usr/include/zstd.h comes from libzstd-dev, which nothing listed brings", faults)

    def test_header_through_the_dependency_of_a_listed_package(self):
        faults = self.faults(["g++", "libspdlog-dev"], COMPILE, "#include <spdlog/version.h>\n#include <fmt/core.h>\n")
        self.assertEqual(faults, ["<fmt/core.h> is included, but its package libfmt-dev is not listed"])

    def test_tool_of_an_unlisted_package(self):
        faults = self.faults(["g++"], f"{COMPILE} && curl --version >target/version")
        self.assertIn("/usr/bin/curl is started, but its package curl is not listed", faults)

    def test_tool_through_the_dependency_of_a_listed_package(self):
        faults = self.faults(["g++"], f"{COMPILE} && ar rc target/a.a target/a.o")
        self.assertEqual(faults, ["/usr/bin/ar is started, but its package binutils is not listed"])

    def test_listed_package_that_is_not_used(self):
        self.assertEqual(self.faults(["g++", "libzstd-dev"], COMPILE),
                         ["libzstd-dev is listed, but the build uses no file of it"])

    def test_file_of_no_package(self):
        with tempfile.TemporaryDirectory() as folder:
            header = pathlib.Path(folder).resolve() / "sys/b.h"
            header.parent.mkdir()
            header.write_text("")
            faults = self.faults(["g++"], f"{COMPILE} -I{header.parent}", "#include <b.h>\n")
        self.assertEqual(faults, [f"{header} belongs to no package"])

    def test_output_outside_target(self):
        faults = self.faults(["g++"], f"{COMPILE} && c++ -c a.cpp -o $PWD/b.o")
        self.assertEqual(len(faults), 1)
        self.assertTrue(faults[0].endswith("/b.o is written, outside target/"))

    def test_network_socket(self):
        faults = self.faults(["g++", "curl"], f"{COMPILE}; curl -s http://127.0.0.1:1/ || true")
        self.assertIn("/usr/bin/curl opens a network socket", faults)

    def test_failing_build_is_an_error(self):
        with self.assertRaises(package_check.subprocess.CalledProcessError):
            self.faults(["g++"], "false")


if __name__ == "__main__":
    unittest.main()
