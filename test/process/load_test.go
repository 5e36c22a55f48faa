package process

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

// Guards against a load tool whose requests do not match its flags, or whose summary or
// records do not match the requests that it sent.
func TestLoadTool(t *testing.T) {
	c := newCluster(t, nil)
	file := filepath.Join(c.Dir, "tool-records.jsonl")
	tool := c.NewTool("load", "sequoia-load", "--directory", c.Instances[0].LookupAddress, "--host", shop.Host(),
		"--region", north, "--rate", "100", "--duration", "2s", "--seed", "91", "--non-idempotent", "0.3",
		"--deadline", "2s", "--run-id", "tool", "--output", "json", "--records", file)
	require.NoError(t, tool.Start())
	exitErr, err := tool.Wait(15 * time.Second)
	require.NoError(t, err)
	require.NoError(t, exitErr, tool.LogTail(500))

	var summary load.Summary
	require.NoError(t, json.Unmarshal([]byte(tool.LogTail(1<<20)), &summary))
	report := &load.Report{Records: readRecords(t, file)}
	require.Equal(t, summary.SentCount, len(report.Records))
	require.InDelta(t, 200, summary.SentCount, 60)
	require.Equal(t, map[string]int{complete: summary.SentCount}, summary.Outcomes)
	require.Positive(t, summary.Latency[load.ClassRead].P99)
	audit := requireInvariants(t, c, report)
	require.Equal(t, map[int]int{1: int(summary.Latency[load.ClassWrite].Count)}, audit.NonIdempotentByExecutionCount)
}

func readRecords(t *testing.T, path string) []load.Record {
	t.Helper()
	file, err := os.Open(path)
	require.NoError(t, err)
	defer file.Close()
	var records []load.Record
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var r load.Record
		require.NoError(t, json.Unmarshal(lines.Bytes(), &r))
		records = append(records, r)
	}
	return records
}
