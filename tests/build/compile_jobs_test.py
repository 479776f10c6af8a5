"""Guards against a build that starts more compilers than the memory of the machine holds."""
import pathlib
import subprocess
import tempfile
import unittest

TOP = pathlib.Path(__file__).parents[2]


def run_cmake(*lines):
    """Runs lines of a CMake script after cmake/compile_jobs.cmake; returns what they print."""
    with tempfile.NamedTemporaryFile("w", suffix=".cmake") as script:
        script.write(f'include("{TOP}/cmake/compile_jobs.cmake")\n' + "\n".join(lines))
        script.flush()
        done = subprocess.run(["cmake", "-P", script.name], capture_output=True, text=True, check=True)
    return done.stderr.strip()


def jobs(*memory_mb):
    return int(run_cmake(f"hickorypost_compile_jobs(n {' '.join(map(str, memory_mb))})", 'message("${n}")'))


class CompileJobs(unittest.TestCase):
    def test_each_compiler_gets_a_gibibyte(self):
        self.assertEqual(jobs(8192), 8)

    def test_smallest_share_decides(self):
        self.assertEqual(jobs(65536, 2048, 8192), 2)

    def test_little_memory_still_allows_one(self):
        self.assertEqual(jobs(500), 1)
        self.assertEqual(jobs(0, 65536), 1)

    def test_control_group_limit_is_read(self):
        for text, expected in (("2147483648\n", "2048"), ("max\n", "")):
            with tempfile.NamedTemporaryFile("w") as limit:
                limit.write(text)
                limit.flush()
                self.assertEqual(run_cmake(f"hickorypost_cgroup_limit_mb(mb {limit.name})",
                                           'message("${mb}")'), expected)

    def test_missing_control_group_is_no_limit(self):
        self.assertEqual(run_cmake("hickorypost_cgroup_limit_mb(mb /nonexistent)", 'message("${mb}")'), "")


if __name__ == "__main__":
    unittest.main()
